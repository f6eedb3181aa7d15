//! Finds the route of a call by walking its path upwards, one segment at a time.

use std::sync::Arc;

use goldcresttally_core::Map;

use super::Route;

/// Routes by path prefix; those of one path stand most specific first.
#[derive(Debug, Default)]
pub(super) struct RouteIndex {
    by_path: Map<Arc<str>, Vec<Arc<Route>>>,
    count: usize,
}

impl RouteIndex {
    /// Adds `route`; returns the route that already serves the same host, method and path.
    pub fn insert(&mut self, route: Arc<Route>) -> Option<Arc<Route>> {
        let same = self.by_path.entry(Arc::clone(&route.path)).or_default();
        // `/a` and `/a/` together would leave it open which of them a path below was meant for.
        let twin = same.iter().find(|r| r.host == route.host && r.method == route.method);
        if let Some(twin) = twin {
            return Some(Arc::clone(twin));
        }
        same.push(route);
        same.sort_by_key(|r| (!r.subpaths_only, r.host.is_none(), r.method.is_none()));
        self.count += 1;
        None
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Finds the most specific route of a call.
    pub fn find(&self, host: &str, method: &str, path: &str) -> Option<&Arc<Route>> {
        let mut prefix = path;
        loop {
            let below = path.as_bytes().get(prefix.len()) == Some(&b'/');
            if let Some(route) = self.find_at(prefix, below, host, method) {
                return Some(route);
            }
            prefix = parent(prefix)?;
        }
    }

    fn find_at(&self, prefix: &str, below: bool, host: &str, method: &str) -> Option<&Arc<Route>> {
        self.by_path.get(prefix)?.iter().find(|r| {
            (below || !r.subpaths_only)
                && r.host.as_deref().is_none_or(|h| h.eq_ignore_ascii_case(host))
                && r.method.as_deref().is_none_or(|m| m == method)
        })
    }
}

/// Returns the path without its last segment, or `None` above the root.
fn parent(path: &str) -> Option<&str> {
    let cut = path.rfind('/')?;
    match (cut, path.len()) {
        (0, 1) => None,
        (0, _) => Some("/"),
        (cut, _) => Some(&path[..cut]),
    }
}
