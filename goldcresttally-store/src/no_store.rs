//! A store for nodes whose settings name none: every operation fails.

use bytes::Bytes;

use crate::BoxFuture;
use crate::errors::{Error, Result};
use crate::object::ObjectStore;
use crate::table::{Row, TableStore, Transaction};

/// A table and object store that returns [`Error::Unavailable`] from every operation.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoStore;

fn unavailable<T: Send + 'static>() -> BoxFuture<'static, Result<T>> {
    Box::pin(async { Err(Error::Unavailable { cause: "no store is configured".to_owned() }) })
}

impl TableStore for NoStore {
    fn read<'a>(&'a self, _key: &'a str) -> BoxFuture<'a, Result<Option<Row>>> {
        unavailable()
    }

    fn scan<'a>(&'a self, _prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>>> {
        unavailable()
    }

    fn transact<'a>(&'a self, _transaction: &'a Transaction) -> BoxFuture<'a, Result<u64>> {
        unavailable()
    }
}

impl ObjectStore for NoStore {
    fn get<'a>(&'a self, _name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>>> {
        unavailable()
    }

    fn put<'a>(&'a self, _name: &'a str, _body: Bytes) -> BoxFuture<'a, Result<()>> {
        unavailable()
    }
}
