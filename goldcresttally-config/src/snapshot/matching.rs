//! Finds the route of a call by looking up its path, then each parent path up to `/`.

use std::sync::Arc;

use goldcresttally_core::Map;

use super::Route;

/// Routes by path prefix; routes with the same prefix are ordered from most to least specific.
#[derive(Debug, Default)]
pub(super) struct RouteIndex {
    by_path: Map<Arc<str>, Vec<Arc<Route>>>,
    count: usize,
}

impl RouteIndex {
    /// Adds `route`, or returns the existing route with the same host, method and path.
    pub fn insert(&mut self, route: Arc<Route>) -> Option<Arc<Route>> {
        let routes = self.by_path.entry(Arc::clone(&route.path)).or_default();
        // `/a` and `/a/` count as duplicates: both would match the paths below `/a/`, and it would be
        // ambiguous which of the two was meant.
        let duplicate = routes.iter().find(|r| r.host == route.host && r.method == route.method);
        if let Some(duplicate) = duplicate {
            return Some(Arc::clone(duplicate));
        }
        routes.push(route);
        routes.sort_by_key(|r| (!r.subpaths_only, r.host.is_none(), r.method.is_none()));
        self.count += 1;
        None
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns the most specific route that matches a call.
    pub fn find(&self, host: &str, method: &str, path: &str) -> Option<&Arc<Route>> {
        let mut prefix = path;
        loop {
            let has_subpath = path.as_bytes().get(prefix.len()) == Some(&b'/');
            if let Some(route) = self.find_at(prefix, has_subpath, host, method) {
                return Some(route);
            }
            prefix = parent(prefix)?;
        }
    }

    fn find_at(
        &self,
        prefix: &str,
        has_subpath: bool,
        host: &str,
        method: &str,
    ) -> Option<&Arc<Route>> {
        self.by_path.get(prefix)?.iter().find(|r| {
            (has_subpath || !r.subpaths_only)
                && r.host.as_deref().is_none_or(|h| h.eq_ignore_ascii_case(host))
                && r.method.as_deref().is_none_or(|m| m == method)
        })
    }
}

/// Returns the path without its last segment, or `None` above the root.
fn parent(path: &str) -> Option<&str> {
    let slash = path.rfind('/')?;
    match (slash, path.len()) {
        (0, 1) => None,
        (0, _) => Some("/"),
        (slash, _) => Some(&path[..slash]),
    }
}
