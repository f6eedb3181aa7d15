//! Claims are grouped; a conflict on one does not hold up the others.

use std::time::Duration;

use goldcresttally_core::{AttemptId, Generation, MonoTime, Rate};
use goldcresttally_ledger::{
    Claim, ClaimBatcher, ClaimState, ClaimWrite, Fingerprint, WriteOutcome,
};

fn write(key: &str, reply: u32) -> ClaimWrite<u32> {
    ClaimWrite { key: key.to_owned(), expected: 0, value: String::new(), reply }
}

#[test]
fn one_transaction_for_many() {
    let mut batcher = ClaimBatcher::new(Rate(10.0));
    for n in 0..50 {
        batcher.push(write(&format!("k{n}"), n)).unwrap();
    }
    let batch = batcher.next_batch(MonoTime(0)).unwrap();
    assert_eq!(batch.len(), 50);
    assert!(batcher.next_batch(MonoTime(0)).is_none());
    assert_eq!(batcher.finish(batch, &WriteOutcome::Written(7)).len(), 50);
}

#[test]
fn rate_is_kept() {
    let mut batcher = ClaimBatcher::new(Rate(10.0));
    let mut sent = 0;
    for ms in 0..1000 {
        batcher.push(write(&format!("k{ms}"), 0)).unwrap();
        if let Some(batch) = batcher.next_batch(MonoTime::from_millis(ms)) {
            sent += 1;
            batcher.finish(batch, &WriteOutcome::Written(1));
        }
    }
    assert_eq!(sent, 10);
}

#[test]
fn conflict_spares_others() {
    let mut batcher = ClaimBatcher::new(Rate(1000.0));
    for (n, key) in ["a", "b", "c"].iter().enumerate() {
        batcher.push(write(key, n as u32)).unwrap();
    }
    let batch = batcher.next_batch(MonoTime(0)).unwrap();
    let ended = batcher.finish(batch, &WriteOutcome::Conflict(vec!["b".to_owned()]));
    assert_eq!(ended.iter().map(|(w, _)| w.reply).collect::<Vec<_>>(), [1]);
    let again = batcher.next_batch(MonoTime(0) + Duration::from_millis(1)).unwrap();
    assert_eq!(again.iter().map(|w| w.reply).collect::<Vec<_>>(), [0, 2]);
}

#[test]
fn one_key_once_per_batch() {
    let mut batcher = ClaimBatcher::new(Rate(1000.0));
    batcher.push(write("a", 1)).unwrap();
    batcher.push(write("a", 2)).unwrap();
    assert_eq!(batcher.next_batch(MonoTime(0)).unwrap().len(), 1);
}

#[test]
fn claim_text_round_trip() {
    arbtest::arbtest(|u| {
        let body: Option<String> = u.arbitrary()?;
        let claim = Claim {
            fingerprint: Fingerprint(u.arbitrary()?),
            attempt: AttemptId {
                origin: "127.0.0.1:9".parse().unwrap(),
                generation: Generation(u.arbitrary()?),
                sequence: u.arbitrary()?,
            },
            holder: "127.0.0.1:8".parse().unwrap(),
            holder_peer: "127.0.0.1:7".to_owned(),
            holder_generation: Generation(3),
            expires_at_ms: u.arbitrary()?,
            state: ClaimState::Answered { status: 201, content_type: "a/b".to_owned(), body },
        };
        assert_eq!(Claim::decode(&claim.encode()), Ok(claim));
        let text: String = u.arbitrary()?;
        let _ = Claim::decode(&text);
        Ok(())
    });
}
