//! The absence of a store: whatever is asked of it is refused.

use bytes::Bytes;

use crate::BoxFuture;
use crate::errors::{Error, Result};
use crate::object::ObjectStore;
use crate::table::{Row, TableStore, Transaction};

/// Stands for a store that the settings do not name.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoStore;

fn refused<T: Send + 'static>() -> BoxFuture<'static, Result<T>> {
    Box::pin(async { Err(Error::Unavailable { cause: "the settings name no store".to_owned() }) })
}

impl TableStore for NoStore {
    fn read<'a>(&'a self, _key: &'a str) -> BoxFuture<'a, Result<Option<Row>>> {
        refused()
    }

    fn scan<'a>(&'a self, _prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>>> {
        refused()
    }

    fn transact<'a>(&'a self, _transaction: &'a Transaction) -> BoxFuture<'a, Result<u64>> {
        refused()
    }
}

impl ObjectStore for NoStore {
    fn get<'a>(&'a self, _name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>>> {
        refused()
    }

    fn put<'a>(&'a self, _name: &'a str, _body: Bytes) -> BoxFuture<'a, Result<()>> {
        refused()
    }
}
