//! Accepted changes of the experiment, one function per fault.

use std::time::Duration;

use goldcresttally_standin::platform::Faults;
use tokio::time::Instant;

use super::{CONVERGENCE_BOUND_S, Run, SECTIONS};
use crate::documents;

impl Run {
    /// Writes and accepts one change; returns its version and the time of the accept.
    pub(super) async fn write_change(
        &mut self,
        change: usize,
        via_node: usize,
    ) -> Result<(u64, Instant), String> {
        let name = format!("filler-{}", change % SECTIONS);
        let text = documents::filler_section(&name, change + 1);
        self.fleet.put_section(via_node, &name, &text).await?;
        self.contents.insert(name, 10 + (change as u32 + 1) % 1000);
        let version = self.accept(via_node).await?;
        Ok((version, Instant::now()))
    }

    /// Accepts the drafts; returns the version, whose content the monitor then expects.
    pub(super) async fn accept(&mut self, via_node: usize) -> Result<u64, String> {
        let version = self.fleet.accept(via_node).await?;
        self.monitor.expect(version, self.contents.clone());
        self.changes += 1;
        Ok(version)
    }

    /// Makes one change and waits until it is in force on the nodes `only`, by default on all.
    pub(super) async fn change(
        &mut self,
        change: usize,
        only: Option<&[usize]>,
    ) -> Result<(), String> {
        let all: Vec<usize> = (0..self.options.nodes).collect();
        let nodes = only.unwrap_or(&all);
        let via_node = nodes[change * 7 % nodes.len()];
        let (version, accepted) = self.write_change(change, via_node).await?;
        self.measure(version, accepted, nodes).await;
        Ok(())
    }

    /// Waits until `version` is in force on `nodes`; records the time since `from` for each.
    pub(super) async fn measure(&mut self, version: u64, from: Instant, nodes: &[usize]) {
        let deadline = from + Duration::from_secs(CONVERGENCE_BOUND_S);
        let mut pending: Vec<usize> = nodes.to_vec();
        while !pending.is_empty() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
            pending.retain(|i| match self.monitor.first_seen(*i, version) {
                Some(at) => {
                    self.times_ms.push(at.saturating_duration_since(from).as_secs_f64() * 1000.0);
                    false
                }
                None => true,
            });
        }
        for i in &pending {
            let actual = self.fleet.version(*i);
            eprintln!("node {i} is at version {actual}, not {version}");
        }
        self.not_converged += pending.len();
    }

    pub(super) async fn change_in_outage(&mut self, change: usize) -> Result<(), String> {
        let all: Vec<usize> = (0..self.options.nodes).collect();
        let via_node = change * 7 % all.len();
        let (version, accepted) = self.write_change(change, via_node).await?;
        self.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
        // A node that restarts during the outage has to get the version from its peers.
        let restarted = (via_node + 1) % all.len();
        self.fleet.kill_node(restarted).await;
        self.fleet.start_node(restarted).await.map_err(|e| e.to_string())?;
        self.watch(restarted);
        self.measure(version, accepted, &all).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        self.fleet.platform.set_faults(Faults::default());
        Ok(())
    }

    pub(super) async fn change_with_lost_answer(&mut self, change: usize) -> Result<(), String> {
        let before = self.fleet.platform.table().scan("history/").len();
        let name = format!("filler-{}", change % SECTIONS);
        let text = documents::filler_section(&name, change + 1);
        self.fleet.put_section(0, &name, &text).await?;
        self.contents.insert(name, 10 + (change as u32 + 1) % 1000);
        self.fleet.platform.set_faults(Faults { lose_answers: 0.7, ..Faults::default() });
        let accepted = self.accept(0).await;
        self.fleet.platform.set_faults(Faults::default());
        // Even if its answers were lost, the operation must have made exactly one version.
        let after = self.fleet.platform.table().scan("history/").len();
        if after != before + 1 {
            self.accepts_failed += 1;
        }
        let version = accepted.unwrap_or(after as u64);
        self.monitor.expect(version, self.contents.clone());
        let all: Vec<usize> = (0..self.options.nodes).collect();
        self.measure(version, Instant::now(), &all).await;
        Ok(())
    }

    pub(super) async fn change_in_partition(&mut self, change: usize) -> Result<(), String> {
        let nodes = self.options.nodes;
        let (isolated, connected): (Vec<usize>, Vec<usize>) =
            (0..nodes).partition(|i| self.fleet.vms[*i].location.domain == "d0");
        let ips = |list: &[usize]| -> Vec<_> {
            list.iter().map(|i| self.fleet.vms[*i].location.ip()).collect()
        };
        let (cut, rest) = (ips(&isolated), ips(&connected));
        self.fleet.platform.set_faults(Faults { cut: cut.clone(), ..Faults::default() });
        self.fleet.network.partition(&[cut, rest]);
        self.change(change, Some(&connected)).await?;
        // Long enough for each side to declare the members of the other dead.
        tokio::time::sleep(Duration::from_secs(10)).await;
        let newest = self.fleet.version(connected[0]);
        self.fleet.network.heal();
        self.fleet.platform.set_faults(Faults::default());
        self.measure(newest, Instant::now(), &isolated).await;
        Ok(())
    }

    pub(super) async fn change_after_mass_restart(&mut self, change: usize) -> Result<(), String> {
        let all: Vec<usize> = (0..self.options.nodes).collect();
        let half: Vec<usize> = all.iter().copied().filter(|i| i % 2 == change % 2).collect();
        for i in &half {
            self.monitor.set_node(*i, None);
            self.fleet.kill_node(*i).await;
        }
        for i in &half {
            self.fleet.start_node(*i).await.map_err(|e| e.to_string())?;
            self.watch(*i);
        }
        let restarted_at = Instant::now();
        let via_node = all.iter().copied().find(|i| !half.contains(i)).unwrap_or(0);
        let (version, _) = self.write_change(change, via_node).await?;
        self.measure(version, restarted_at, &all).await;
        Ok(())
    }

    pub(super) async fn change_in_race(&mut self, change: usize) -> Result<(), String> {
        let name = format!("filler-{}", change % SECTIONS);
        let (one, other) = (0, self.options.nodes / 2);
        let numbers = [2 * change + 1, 2 * change + 2];
        let texts = numbers.map(|n| documents::filler_section(&name, n));
        let (a, b) = tokio::join!(
            self.fleet.put_section(one, &name, &texts[0]),
            self.fleet.put_section(other, &name, &texts[1]),
        );
        // Of two edits with the same base revision one must get a conflict; none is lost silently.
        if a.is_err() && b.is_err() {
            return Err(format!("both edits failed: {a:?} {b:?}"));
        }
        let (x, y) = tokio::join!(self.fleet.accept(one), self.fleet.accept(other));
        let newest = x.clone().unwrap_or(0).max(y.clone().unwrap_or(0));
        if newest == 0 || x == y {
            self.accepts_failed += 1;
        }
        self.changes += 1;
        let all: Vec<usize> = (0..self.options.nodes).collect();
        self.measure(newest, Instant::now(), &all).await;
        Ok(())
    }
}
