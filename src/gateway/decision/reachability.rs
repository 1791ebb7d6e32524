//! Whether this router has a network path to the targets.
//!
//! A target that crashed refuses connections just as a partition does, so the path is judged by connections to several
//! targets. It answers the load of a partition of this router alone: without this decision each request waits for
//! connections that cannot be opened, while other routers could send it.

/// Fewest targets that are probed before the path counts as lost: one alone may have crashed.
const PROBES_MIN: usize = 2;
/// Targets that are probed at once, or all if there are fewer.
pub const PROBES: usize = 3;

/// The outcome of a connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The connection was opened.
    Opened,
    /// The connection was refused or reset.
    Refused,
    /// The connection was not opened in time.
    TimedOut,
}

/// The state of this router's path to the targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// Targets can be reached.
    #[default]
    Reachable,
    /// No target can be reached.
    Partitioned(Pooled),
}

/// What becomes of connections that were opened before a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pooled {
    /// New connections are refused, so those that are still open may work.
    Usable,
    /// The network is silent, so requests on them would only wait.
    Stale,
}

/// Judges the path by the latest probes. A partition is over once most targets can be reached, so that single ones that
/// answer do not switch the path back and forth.
pub fn judge(before: Reachability, probes: &[Probe]) -> Reachability {
    let opened = count(probes, Probe::Opened);
    let is_lost = opened == 0 && probes.len() >= PROBES_MIN;
    let is_back = opened * 2 > probes.len();
    match before {
        Reachability::Partitioned(_) if !is_lost && !is_back && opened > 0 => before,
        _ if is_lost && count(probes, Probe::TimedOut) > 0 => {
            Reachability::Partitioned(Pooled::Stale)
        }
        _ if is_lost => Reachability::Partitioned(Pooled::Usable),
        _ => Reachability::Reachable,
    }
}

/// Number of probes with this outcome.
pub fn count(probes: &[Probe], outcome: Probe) -> usize {
    probes.iter().filter(|probe| **probe == outcome).count()
}
