//! Accepts and edits take effect exactly once, even if requests or answers are lost.

mod common;

use std::sync::Arc;

use common::{MemoryPlatform, Outcome, operation};
use goldcresttally_core::{TeamName, Version};
use goldcresttally_store::Error;

const BODY: &str = "services:\n  a: {}\n";

fn team(name: &str) -> TeamName {
    name.parse().unwrap()
}

#[tokio::test]
async fn accept_with_lost_answer_takes_effect_once() {
    let platform = Arc::new(MemoryPlatform::default());
    let document = platform.document();
    let name = "a".parse().unwrap();
    document.put_draft(operation(1), &team("t"), &name, 0, BODY).await.unwrap();
    platform.set_outcomes(&[Outcome::LostAfterWrite]);
    let (accepted, _) = document.accept(operation(2), &team("t"), 0).await.unwrap();
    assert_eq!(accepted.version, Version(1));
    assert_eq!(platform.count("history/"), 1);
    // The caller did not get the answer either and repeats the operation.
    let (again, content) = document.accept(operation(2), &team("t"), 0).await.unwrap();
    assert_eq!((again, content), (accepted, None));
    assert_eq!(platform.count("history/"), 1);
}

#[tokio::test]
async fn repeated_accept_takes_effect_once() {
    let outcomes = [
        Outcome::Answered,
        Outcome::LostAfterWrite,
        Outcome::LostBeforeWrite,
        Outcome::Unreachable,
    ];
    for n in 0..256usize {
        let platform = Arc::new(MemoryPlatform::default());
        let document = platform.document();
        let name = "a".parse().unwrap();
        document.put_draft(operation(1), &team("t"), &name, 0, BODY).await.unwrap();
        let list: Vec<_> = (0..4).map(|i| outcomes[n >> (2 * i) & 3]).collect();
        platform.set_outcomes(&list);
        for _ in 0..4 {
            if document.accept(operation(9), &team("t"), 0).await.is_ok() {
                break;
            }
        }
        assert_eq!(platform.count("history/"), 1, "{list:?}");
        assert_eq!(document.head().await.unwrap().version, Version(1));
    }
}

#[tokio::test]
async fn edit_with_lost_answer_is_settled() {
    let platform = Arc::new(MemoryPlatform::default());
    let document = platform.document();
    let name = "a".parse().unwrap();
    platform.set_outcomes(&[Outcome::LostAfterWrite]);
    let written = document.put_draft(operation(1), &team("t"), &name, 0, BODY).await.unwrap();
    assert_eq!(document.drafts().await.unwrap(), [written]);
    platform.set_outcomes(&[Outcome::LostBeforeWrite]);
    let error =
        document.put_draft(operation(2), &team("t"), &name, 1, "ranks: {}\n").await.unwrap_err();
    assert!(matches!(error, Error::AnswerLost { .. }), "{error}");
}

#[tokio::test]
async fn edit_of_older_revision_is_stale() {
    let platform = Arc::new(MemoryPlatform::default());
    let document = platform.document();
    let name = "a".parse().unwrap();
    let first = document.put_draft(operation(1), &team("t"), &name, 0, BODY).await.unwrap();
    let second =
        document.put_draft(operation(2), &team("t"), &name, first.revision, "ranks: {}\n").await;
    let second = second.unwrap();
    let error = document
        .put_draft(operation(3), &team("t"), &name, first.revision, BODY)
        .await
        .unwrap_err();
    let Error::Stale { current, .. } = error else { panic!("{error}") };
    assert_eq!(current, second.revision);
}

#[tokio::test]
async fn other_teams_cannot_write() {
    let platform = Arc::new(MemoryPlatform::default());
    let document = platform.document();
    let name = "a".parse().unwrap();
    let written = document.put_draft(operation(1), &team("t"), &name, 0, BODY).await.unwrap();
    let other = document.put_draft(operation(2), &team("u"), &name, written.revision, BODY).await;
    assert!(matches!(other, Err(Error::NotOwner { .. })));
    let removed = document.remove_draft(operation(3), &team("u"), &name, written.revision).await;
    assert!(matches!(removed, Err(Error::NotOwner { .. })));
    document.remove_draft(operation(4), &team("t"), &name, written.revision).await.unwrap();
    assert!(document.drafts().await.unwrap().is_empty());
}

#[tokio::test]
async fn invalid_document_changes_nothing() {
    let platform = Arc::new(MemoryPlatform::default());
    let document = platform.document();
    let bad =
        document.put_draft(operation(1), &team("t"), &"a".parse().unwrap(), 0, "nonsense: 1").await;
    assert!(matches!(bad, Err(Error::Invalid { .. })));
    assert_eq!(platform.count("section/"), 0);
    let open = "routes: [{path: /x, service: ghost, rank: r, idempotent: true}]";
    document.put_draft(operation(2), &team("t"), &"b".parse().unwrap(), 0, open).await.unwrap();
    assert!(matches!(
        document.accept(operation(3), &team("t"), 0).await,
        Err(Error::Invalid { .. })
    ));
    assert_eq!((platform.count("history/"), platform.count("head")), (0, 0));
}

#[tokio::test]
async fn older_section_can_be_restored() {
    let platform = Arc::new(MemoryPlatform::default());
    let document = platform.document();
    let name = "a".parse().unwrap();
    let first = document.put_draft(operation(1), &team("t"), &name, 0, BODY).await.unwrap();
    document.accept(operation(2), &team("t"), 0).await.unwrap();
    let second = document
        .put_draft(operation(3), &team("t"), &name, first.revision, "ranks: {}\n")
        .await
        .unwrap();
    document.accept(operation(4), &team("t"), 0).await.unwrap();
    let old = document.section_at(Version(1), &name).await.unwrap();
    assert_eq!(&*old, BODY);
    document.put_draft(operation(5), &team("t"), &name, second.revision, &old).await.unwrap();
    let (third, _) = document.accept(operation(6), &team("t"), 0).await.unwrap();
    assert_eq!(third.version, Version(3));
}
