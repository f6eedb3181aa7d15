//! Applying the difference between two manifests to the older one gives the newer one.

use goldcresttally_config::{Digest, Manifest, SectionEntry};
use goldcresttally_core::Version;

fn manifest(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    version: u64,
) -> arbtest::arbitrary::Result<Manifest> {
    let mut sections = Vec::new();
    for name in 0..8 {
        if u.arbitrary()? {
            let body = u.int_in_range(0..=2)?;
            sections.push(SectionEntry {
                name: format!("s{name}").parse().unwrap(),
                digest: Digest::of(&[body]),
            });
        }
    }
    Ok(Manifest::new(Version(version), sections))
}

#[test]
fn patching_old_gives_new() {
    arbtest::arbtest(|u| {
        let (old, new) = (manifest(u, 1)?, manifest(u, 2)?);
        let patched = old.patched(Version(2), &new.changed_since(&old), &new.removed_since(&old));
        assert_eq!(patched, new);
        assert_eq!(patched.digest(), new.digest());
        Ok(())
    });
}

#[test]
fn digest_depends_on_version() {
    let (one, two) = (Manifest::new(Version(1), vec![]), Manifest::new(Version(2), vec![]));
    assert_ne!(one.digest(), two.digest());
    let text = one.digest().to_string();
    assert_eq!(text.parse(), Ok(one.digest()));
    "zz".repeat(32).parse::<Digest>().unwrap_err();
}
