//! Builds a snapshot from all sections; an error in any section rejects the whole document.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{AccountName, Map, RankName, SectionName, Version};

use super::{Account, Accounts, Rank, Route, Service, Snapshot, Split};
use crate::document::{AccountSpec, LimitsSpec, RankSpec, RouteSpec, Section, SplitSpec};
use crate::errors::{Error, Result};
use crate::parse::{SectionFormat, YamlFormat, line_of};

/// Maximum call timeout that a route may set, in milliseconds.
const TIMEOUT_LIMIT_MS: u32 = 600_000;

/// Maximum number of ranks in one document.
const RANK_LIMIT: usize = 16;

impl Snapshot {
    /// Parses and validates all sections and builds the snapshot of `version`.
    ///
    /// Returns the first error found, with its section, path and line where they are known.
    pub fn build(version: Version, bodies: &[(SectionName, Arc<str>)]) -> Result<Self> {
        Self::build_with(&YamlFormat, version, bodies)
    }

    /// Does the same as [`Self::build`] for sections in another format.
    pub fn build_with(
        format: &dyn SectionFormat,
        version: Version,
        bodies: &[(SectionName, Arc<str>)],
    ) -> Result<Self> {
        let mut sections = Vec::with_capacity(bodies.len());
        for (name, text) in bodies {
            sections.push((name, format.read(name, text)?));
        }
        let sections: Vec<_> = sections.iter().map(|(name, section)| (*name, section)).collect();
        Self::link_bodies(version, bodies, &sections)
    }

    /// Links the parsed sections; `bodies` are their texts, from which the lines of errors are
    /// taken.
    pub(crate) fn link_bodies(
        version: Version,
        bodies: &[(SectionName, Arc<str>)],
        sections: &[(&SectionName, &Section)],
    ) -> Result<Self> {
        let with_line = |e: Error| {
            let body = bodies.iter().find(|(name, _)| Some(name) == e.section.as_ref());
            let line = body.and_then(|(_, text)| line_of(text, &e.path));
            e.with_line(line)
        };
        Self::link(version, sections).map_err(with_line)
    }

    fn link(version: Version, sections: &[(&SectionName, &Section)]) -> Result<Self> {
        let mut snapshot = Self { version, ..Self::default() };
        snapshot.add_limits(sections)?;
        snapshot.add_services(sections)?;
        let ranks = snapshot.add_ranks(sections)?;
        for (name, section) in sections {
            for (i, spec) in section.routes.iter().enumerate() {
                snapshot.add_route(name, i, spec, &ranks)?;
            }
        }
        snapshot.accounts = link_accounts(sections, &ranks)?;
        Ok(snapshot)
    }

    fn add_limits(&mut self, sections: &[(&SectionName, &Section)]) -> Result<()> {
        let mut definitions = sections.iter().filter_map(|(name, s)| Some((name, s.limits?)));
        self.limits = definitions.next().map_or_else(LimitsSpec::default, |(_, limits)| limits);
        match definitions.next() {
            Some((name, _)) => Err(Error::at(name, "limits", "already set in another section")),
            None => Ok(()),
        }
    }

    fn add_services(&mut self, sections: &[(&SectionName, &Section)]) -> Result<()> {
        for (section, name, spec) in
            sections.iter().flat_map(|(s, c)| c.services.iter().map(move |(n, spec)| (*s, n, spec)))
        {
            let path = format!("services.{name}");
            if spec.max_concurrency == 0 {
                let path = format!("{path}.max_concurrency");
                return Err(Error::at(section, path, "must be at least 1"));
            }
            let service = Arc::new(Service {
                name: name.clone(),
                max_concurrency: spec.max_concurrency,
                adaptive_limit: spec.adaptive_limit,
                max_connections: spec.max_connections,
                queue: spec.queue,
                health_path: spec.health_path.clone(),
                objective: spec.objective,
            });
            if self.services.insert(name.clone(), service).is_some() {
                return Err(Error::at(section, path, "already defined in another section"));
            }
        }
        Ok(())
    }

    fn add_ranks(
        &mut self,
        sections: &[(&SectionName, &Section)],
    ) -> Result<Map<RankName, Arc<Rank>>> {
        let mut specs: Vec<(&SectionName, &RankName, &RankSpec)> = sections
            .iter()
            .flat_map(|(s, c)| c.ranks.iter().map(move |(n, spec)| (*s, n, spec)))
            .collect();
        specs.sort_by_key(|(_, name, spec)| (spec.order, (*name).clone()));
        let mut by_name = Map::default();
        let mut floor_sum = 0.0;
        for (index, (section, name, spec)) in specs.iter().enumerate() {
            let path = format!("ranks.{name}");
            let fail = |message: &str| Err(Error::at(section, path.clone(), message));
            if index > 0 && specs[index - 1].2.order == spec.order {
                return fail("another rank has the same order");
            }
            if spec.target_ms == 0 {
                return fail("target_ms must be at least 1");
            }
            floor_sum += spec.floor.fraction();
            let rank = Arc::new(Rank {
                name: (*name).clone(),
                index,
                target: Duration::from_millis(spec.target_ms.into()),
                worth: spec.worth,
                floor: spec.floor,
            });
            if by_name.insert((*name).clone(), Arc::clone(&rank)).is_some() {
                return fail("already defined in another section");
            }
            self.ranks.push(rank);
        }
        if floor_sum > 0.5 {
            return Err(Error::document(format!(
                "the floors of all ranks add up to {floor_sum}, but at most 0.5 is allowed"
            )));
        }
        if self.ranks.len() > RANK_LIMIT {
            return Err(Error::document(format!("more than {RANK_LIMIT} ranks are defined")));
        }
        Ok(by_name)
    }

    /// Resolves the services of a route; an error is the name of the invalid field and a message.
    fn resolve_split(
        &self,
        spec: &RouteSpec,
    ) -> std::result::Result<Split, (&'static str, String)> {
        let single = spec.service.iter().map(|s| SplitSpec { service: s.clone(), weight: 1 });
        let parts: Vec<_> = match (&spec.service, spec.split.as_slice()) {
            (Some(_), []) => single.collect(),
            (None, [_, ..]) => spec.split.clone(),
            _ => return Err(("service", "set exactly one of `service` and `split`".to_owned())),
        };
        let field = if spec.service.is_some() { "service" } else { "split" };
        let mut resolved = Vec::with_capacity(parts.len());
        for part in parts {
            let Some(service) = self.services.get(&part.service) else {
                let message = format!("no section defines the service `{}`", part.service);
                return Err((field, message));
            };
            resolved.push((Arc::clone(service), part.weight));
        }
        Split::new(resolved).ok_or_else(|| ("split", "the weights add up to 0".to_owned()))
    }

    fn add_route(
        &mut self,
        section: &SectionName,
        i: usize,
        spec: &RouteSpec,
        ranks: &Map<RankName, Arc<Rank>>,
    ) -> Result<()> {
        let fail = |field: &str, message: String| {
            Err(Error::at(section, format!("routes[{i}].{field}"), message))
        };
        let split = match self.resolve_split(spec) {
            Ok(split) => split,
            Err((field, message)) => return fail(field, message),
        };
        let Some(rank) = ranks.get(&spec.rank) else {
            return fail("rank", format!("no section defines the rank `{}`", spec.rank));
        };
        if !spec.path.starts_with('/') {
            return fail("path", format!("`{}` does not start with `/`", spec.path));
        }
        if spec.target_ms == Some(0) {
            return fail("target_ms", "must be at least 1".to_owned());
        }
        if !(1..=TIMEOUT_LIMIT_MS).contains(&spec.timeout_ms) {
            return fail("timeout_ms", format!("must be from 1 to {TIMEOUT_LIMIT_MS}"));
        }
        let route = Arc::new(Route {
            host: spec.host.clone(),
            path: trim_slash(&spec.path),
            subpaths_only: spec.path.len() > 1 && spec.path.ends_with('/'),
            method: spec.method.clone(),
            split,
            target: spec.target_ms.map_or(rank.target, |ms| Duration::from_millis(ms.into())),
            rank: Arc::clone(rank),
            idempotent: spec.idempotent,
            key: spec.key,
            on_table_outage: spec.on_table_outage,
            timeout: Duration::from_millis(spec.timeout_ms.into()),
            retries: spec.retries,
            public: spec.public,
        });
        match self.routes.insert(route) {
            None => Ok(()),
            Some(_) => {
                fail("path", format!("`{}` has two routes for this host and method", spec.path))
            }
        }
    }
}

fn link_accounts(
    sections: &[(&SectionName, &Section)],
    ranks: &Map<RankName, Arc<Rank>>,
) -> Result<Accounts> {
    let require_keys = sections.iter().any(|(_, section)| section.require_keys);
    let mut linked = Vec::new();
    let mut defined_in = Map::default();
    for (section, name, spec) in
        sections.iter().flat_map(|(s, c)| c.accounts.iter().map(move |(n, spec)| (*s, n, spec)))
    {
        let path = format!("accounts.{name}");
        if defined_in.insert(name.clone(), section).is_some() {
            return Err(Error::at(section, path, "already defined in another section"));
        }
        match link_account(name, spec, ranks) {
            Ok(account) => linked.push((Arc::new(account), spec.key_sha256.as_slice())),
            Err((field, message)) => {
                return Err(Error::at(section, format!("{path}.{field}"), message));
            }
        }
    }
    Accounts::index(linked, require_keys).map_err(|name| {
        let message = "a key is listed twice, in this account or in two accounts";
        Error::at(defined_in[&name], format!("accounts.{name}.key_sha256"), message)
    })
}

/// Resolves the rank of an account and checks its limits; an error is the name of the invalid field
/// and a message.
fn link_account(
    name: &AccountName,
    spec: &AccountSpec,
    ranks: &Map<RankName, Arc<Rank>>,
) -> std::result::Result<Account, (&'static str, String)> {
    let rank = match &spec.rank {
        None => None,
        Some(rank) => match ranks.get(rank) {
            Some(rank) => Some(Arc::clone(rank)),
            None => return Err(("rank", format!("no section defines the rank `{rank}`"))),
        },
    };
    let rate = spec.rate_per_s.unwrap_or_default();
    let burst = spec.burst.unwrap_or_default();
    for (field, value) in [("rate_per_s", rate.0), ("burst", burst)] {
        if !value.is_finite() || value < 0.0 {
            return Err((field, format!("`{value}` is not a finite number of at least 0")));
        }
    }
    let rate = Some(rate).filter(|rate| rate.0 > 0.0);
    Ok(Account { name: name.clone(), rank, rate, burst })
}

/// Removes trailing slashes, because the route index stores prefixes without them.
fn trim_slash(path: &Arc<str>) -> Arc<str> {
    match path.trim_end_matches('/') {
        "" => Arc::from("/"),
        trimmed => Arc::from(trimmed),
    }
}
