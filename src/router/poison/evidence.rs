//! Crashed runs that an entry knows of, by what may have been the reason.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::router::poison::suspect::CrashedRun;
use crate::router::poison::suspect::Incarnation;
use crate::router::poison::suspect::Suspect;

/// Largest number of crashed runs that are remembered.
pub const MAX_CRASHED_RUNS: usize = 1_024;

new_key_type! {
    /// Identifies a crashed run within one entry.
    pub(super) struct RunKey;
}

/// Crashed run, and since when this entry knows of it.
#[derive(Debug, Clone)]
pub(super) struct KnownRun {
    /// The run, with the suspects that have not gone well since.
    pub(super) run: CrashedRun,
    /// When this entry learned of it.
    pub(super) known_at: Duration,
    /// Estimated time of the crash.
    pub(super) crashed_at: Duration,
    /// True if the run was one of this entry.
    pub(super) is_own: bool,
    /// Suspects that have gone well since.
    pub(super) cleared: Vec<Suspect>,
}

/// Crashed runs that an entry knows of.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    runs: SlotMap<RunKey, KnownRun>,
    /// The runs, the one first that has been known for the longest time.
    order: VecDeque<RunKey>,
    by_run: HashMap<(CompactString, Incarnation), RunKey>,
    by_suspect: HashMap<Suspect, Vec<RunKey>>,
    by_upstream: HashMap<Incarnation, Vec<RunKey>>,
}

impl Evidence {
    /// Adds a run, or if it is known its further suspects.
    pub(super) fn add(&mut self, known: KnownRun) {
        let id = (known.run.request_id.clone(), known.run.upstream.clone());
        if let Some(key) = self.by_run.get(&id) {
            return self.add_suspects(*key, known.run.suspects);
        }
        if self.runs.len() >= MAX_CRASHED_RUNS {
            self.evict();
        }
        let (suspects, upstream) = (known.run.suspects.clone(), known.run.upstream.clone());
        let key = self.runs.insert(known);
        self.order.push_back(key);
        self.by_run.insert(id, key);
        self.by_upstream.entry(upstream).or_default().push(key);
        for suspect in suspects {
            self.by_suspect.entry(suspect).or_default().push(key);
        }
    }

    /// Adds the suspects to a run that it does not have and that have not gone well since.
    fn add_suspects(&mut self, key: RunKey, suspects: Vec<Suspect>) {
        let known = &mut self.runs[key];
        for suspect in suspects {
            if !known.run.suspects.contains(&suspect) && !known.cleared.contains(&suspect) {
                known.run.suspects.push(suspect.clone());
                self.by_suspect.entry(suspect).or_default().push(key);
            }
        }
    }

    /// Forgets the runs that became known at `until` or before.
    pub(super) fn forget(&mut self, until: Duration) {
        while let Some(key) = self.order.front().copied() {
            if self.runs[key].known_at > until {
                return;
            }
            self.order.pop_front();
            self.remove(key);
        }
    }

    /// Takes a suspect off all runs, which stay known.
    pub(super) fn clear(&mut self, suspect: &Suspect) {
        for key in self.by_suspect.remove(suspect).unwrap_or_default() {
            let known = &mut self.runs[key];
            known.run.suspects.retain(|other| other != suspect);
            known.cleared.push(suspect.clone());
        }
    }

    /// True if a run with this suspect is known.
    pub(super) fn has(&self, suspect: &Suspect) -> bool {
        self.by_suspect.contains_key(suspect)
    }

    /// Crashed runs with this suspect.
    pub(super) fn runs_with(&self, suspect: &Suspect) -> impl Iterator<Item = &KnownRun> {
        let keys = self.by_suspect.get(suspect).into_iter().flatten();
        keys.map(|key| &self.runs[*key])
    }

    /// Crashed runs of this upstream.
    pub(super) fn runs_at(&self, upstream: &Incarnation) -> impl Iterator<Item = &KnownRun> {
        let keys = self.by_upstream.get(upstream).into_iter().flatten();
        keys.map(|key| &self.runs[*key])
    }

    /// Runs of this entry itself that became known after `since`.
    pub(super) fn own_runs(&self, since: Duration) -> impl Iterator<Item = &KnownRun> {
        let runs = self.order.iter().map(|key| &self.runs[*key]);
        runs.filter(move |known| known.is_own && known.known_at > since)
    }

    /// Number of different upstreams that crashed under this suspect.
    pub(super) fn crashed_upstreams(&self, suspect: &Suspect) -> usize {
        count_upstreams(self.runs_with(suspect))
    }

    /// Removes the oldest run that does not share a suspect with another one; the oldest one
    /// if there is none.
    fn evict(&mut self) {
        let is_repeated = |suspect: &Suspect| self.by_suspect[suspect].len() > 1;
        let is_single = |key: &RunKey| !self.runs[*key].run.suspects.iter().any(is_repeated);
        let position = self.order.iter().position(is_single).unwrap_or(0);
        if let Some(key) = self.order.remove(position) {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: RunKey) {
        let Some(KnownRun { run, .. }) = self.runs.remove(key) else { return };
        self.by_run.remove(&(run.request_id, run.upstream.clone()));
        remove_key(&mut self.by_upstream, &run.upstream, key);
        for suspect in &run.suspects {
            remove_key(&mut self.by_suspect, suspect, key);
        }
    }
}

fn remove_key<K: Eq + std::hash::Hash>(
    index: &mut HashMap<K, Vec<RunKey>>,
    indexed: &K,
    key: RunKey,
) {
    let Some(keys) = index.get_mut(indexed) else { return };
    keys.retain(|other| *other != key);
    if keys.is_empty() {
        index.remove(indexed);
    }
}

/// Number of different upstreams of crashed runs.
pub(super) fn count_upstreams<'a>(runs: impl Iterator<Item = &'a KnownRun>) -> usize {
    runs.map(|known| &known.run.upstream).collect::<HashSet<_>>().len()
}
