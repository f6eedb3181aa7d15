//! An in-memory platform that can lose requests and answers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use goldcresttally_core::OperationId;
use goldcresttally_store::table::Change;
use goldcresttally_store::{
    BoxFuture, Document, Error, Expected, ObjectStore, Result, Row, TableStore, Transaction,
};

/// What happens to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    /// The write takes effect, but its answer is lost.
    LostAfterWrite,
    /// The request is lost, so the write does not take effect.
    LostBeforeWrite,
    /// The platform cannot be reached.
    Unreachable,
}

#[derive(Debug, Default)]
struct Inner {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    revision: u64,
    outcomes: VecDeque<Outcome>,
}

#[derive(Debug, Default)]
pub struct MemoryPlatform(Mutex<Inner>);

impl MemoryPlatform {
    pub fn document(self: &Arc<Self>) -> Document {
        Document::new(Arc::clone(self) as _, Arc::clone(self) as _)
    }

    /// Sets the outcomes of the next transactions; later ones are answered.
    pub fn set_outcomes(&self, outcomes: &[Outcome]) {
        self.0.lock().unwrap().outcomes = outcomes.iter().copied().collect();
    }

    /// Returns the number of rows whose key starts with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.0.lock().unwrap().rows.keys().filter(|k| k.starts_with(prefix)).count()
    }
}

impl Inner {
    fn apply(&mut self, transaction: &Transaction) -> Result<u64> {
        let mut keys = Vec::new();
        for write in &transaction.writes {
            let current = self.rows.get(&write.key).map(|r| r.revision);
            let holds = match write.expected {
                Expected::Any => true,
                Expected::Absent => current.is_none(),
                Expected::Revision(revision) => current == Some(revision),
            };
            if !holds {
                keys.push(write.key.clone());
            }
        }
        if !keys.is_empty() {
            return Err(Error::Conflict { keys });
        }
        self.revision += 1;
        for write in &transaction.writes {
            let (key, revision) = (write.key.clone(), self.revision);
            match &write.change {
                Change::Keep => {}
                Change::Delete => drop(self.rows.remove(&key)),
                Change::Put(value) => {
                    let row = Row { key: key.clone(), revision, value: value.clone() };
                    self.rows.insert(key, row);
                }
            }
        }
        Ok(self.revision)
    }
}

impl TableStore for MemoryPlatform {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>> {
        Box::pin(async move { Ok(self.0.lock().unwrap().rows.get(key).cloned()) })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>>> {
        Box::pin(async move {
            let inner = self.0.lock().unwrap();
            let rows = inner.rows.iter().filter(|(k, _)| k.starts_with(prefix));
            Ok(rows.map(|(_, row)| row.clone()).collect())
        })
    }

    fn transact<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, Result<u64>> {
        Box::pin(async move {
            let mut inner = self.0.lock().unwrap();
            let lost = Err(Error::AnswerLost { cause: "test".to_owned() });
            match inner.outcomes.pop_front().unwrap_or(Outcome::Answered) {
                Outcome::Answered => inner.apply(transaction),
                Outcome::LostBeforeWrite => lost,
                Outcome::Unreachable => Err(Error::Unavailable { cause: "test".to_owned() }),
                Outcome::LostAfterWrite => {
                    let _ = inner.apply(transaction);
                    lost
                }
            }
        })
    }
}

impl ObjectStore for MemoryPlatform {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>>> {
        Box::pin(async move { Ok(self.0.lock().unwrap().objects.get(name).cloned()) })
    }

    fn put<'a>(&'a self, name: &'a str, body: Bytes) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            self.0.lock().unwrap().objects.insert(name.to_owned(), body);
            Ok(())
        })
    }
}

pub fn operation(n: u128) -> OperationId {
    OperationId(n)
}
