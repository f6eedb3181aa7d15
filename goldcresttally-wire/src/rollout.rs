//! Stages and reports of rollouts.

use std::time::Duration;

use goldcresttally_core::{Rate, ReleaseName};
use goldcresttally_rollout::{ClassCount, Phase, Report, Stage};

use crate::errors::Result;
use crate::wire_capnp::{self, RolloutPhase};

/// Thousandths of a call per second in one call per second.
const MILLI: f64 = 1000.0;

/// Maximum number of classes in a report; further ones are left out.
const MAX_CLASSES: u32 = 256;

/// Writes a stage.
pub fn write_stage(stage: &Stage, mut to: wire_capnp::rollout_stage::Builder<'_>) {
    to.set_release(stage.release.as_str());
    to.set_order(stage.order);
    to.set_epoch(stage.epoch);
    to.set_phase(match stage.phase {
        Phase::Canary => RolloutPhase::Canary,
        Phase::Open => RolloutPhase::Open,
        Phase::Shift => RolloutPhase::Shift,
        Phase::Completed => RolloutPhase::Completed,
        Phase::RolledBack => RolloutPhase::RolledBack,
    });
    to.set_rate_milli(stage.rate.map_or(u64::MAX, |rate| (rate.0 * MILLI) as u64));
    to.set_share_milli(stage.share_milli);
    to.set_valid_ms(stage.valid.map_or(u32::MAX, |valid| valid.as_millis() as u32));
}

/// Reads a stage; `None` if it names no release.
pub fn read_stage(from: wire_capnp::rollout_stage::Reader<'_>) -> Result<Option<Stage>> {
    let Some(release) = read_release(from.get_release()?.to_str()?)? else { return Ok(None) };
    let (rate, valid) = (from.get_rate_milli(), from.get_valid_ms());
    Ok(Some(Stage {
        release,
        order: from.get_order(),
        epoch: from.get_epoch(),
        phase: match from.get_phase()? {
            RolloutPhase::Canary => Phase::Canary,
            RolloutPhase::Open => Phase::Open,
            RolloutPhase::Shift => Phase::Shift,
            RolloutPhase::Completed => Phase::Completed,
            RolloutPhase::RolledBack => Phase::RolledBack,
        },
        rate: (rate != u64::MAX).then_some(Rate(rate as f64 / MILLI)),
        share_milli: from.get_share_milli(),
        valid: (valid != u32::MAX).then_some(Duration::from_millis(valid.into())),
    }))
}

/// Writes a report.
pub fn write_report(report: &Report, mut to: wire_capnp::rollout_report::Builder<'_>) {
    if let Some(release) = &report.release {
        to.set_release(release.as_str());
    }
    to.set_epoch(report.epoch);
    to.set_received(report.received);
    to.set_in_flight(report.in_flight);
    to.set_informed(report.is_informed);
    let mut list = to.reborrow().init_classes(report.classes.len() as u32);
    for (i, (class, count)) in report.classes.iter().enumerate() {
        let mut to = list.reborrow().get(i as u32);
        to.set_class(*class);
        to.set_answered(count.answered);
        to.set_failed(count.failed);
        to.set_total_ms(count.total_ms);
    }
    if let Some(held) = &report.held {
        write_stage(held, to.init_held());
    }
}

/// Reads a report.
pub fn read_report(from: wire_capnp::rollout_report::Reader<'_>) -> Result<Report> {
    let classes = from.get_classes()?.iter().take(MAX_CLASSES as usize);
    let count = |class: wire_capnp::rollout_class::Reader<'_>| {
        let count = ClassCount {
            answered: class.get_answered(),
            failed: class.get_failed(),
            total_ms: class.get_total_ms(),
        };
        (class.get_class(), count)
    };
    Ok(Report {
        release: read_release(from.get_release()?.to_str()?)?,
        epoch: from.get_epoch(),
        received: from.get_received(),
        in_flight: from.get_in_flight(),
        classes: classes.map(count).collect(),
        held: if from.has_held() { read_stage(from.get_held()?)? } else { None },
        is_informed: from.get_informed(),
    })
}

fn read_release(text: &str) -> Result<Option<ReleaseName>> {
    if text.is_empty() { Ok(None) } else { Ok(Some(text.parse()?)) }
}
