//! The simulated log, which loses, repeats, delays and drops records.

use super::*;

impl World {
    /// The log forgets all before the newest checkpoint but one.
    pub(super) fn trim(&mut self) {
        for (first, batches) in self.log.values_mut() {
            let throughs = batches.iter().flat_map(|batch| &batch.entries);
            let mut throughs: Vec<u64> = throughs
                .filter_map(|entry| match &entry.record {
                    Record::Checkpoint(checkpoint) => Some(checkpoint.through.0),
                    _ => None,
                })
                .collect();
            throughs.sort_unstable();
            if let [.., through] = throughs[..]
                && through >= *first
            {
                batches.drain(..(through + 1 - *first) as usize);
                *first = through + 1;
                self.faults.count("trim");
            }
        }
    }

    pub(super) fn poll(&mut self, node: usize, generation: u64) {
        let wait = self.rng.random_range(20..150);
        self.after(wait, Event::Poll(node, generation));
        let up = self.log_up && !self.nodes[node].log_cut;
        self.handle_input(node, Input::LogUp(up));
        if !up {
            return;
        }
        let Some(state) = &self.nodes[node].state else {
            return;
        };
        let mut reads = Vec::new();
        for (stream, (first, batches)) in &self.log {
            let from = (state.applied(*stream).0 + 1).max(*first);
            let new = batches.iter().enumerate().skip((from - first) as usize);
            let new: Vec<_> = new
                .map(|(i, batch)| (Offset(first + i as u64), batch.clone()))
                .collect();
            if !new.is_empty() || !state.is_ready() {
                reads.push((*stream, Offset(*first), new));
            }
        }
        for (stream, first, batches) in reads {
            self.handle_input(
                node,
                Input::Read {
                    stream,
                    first,
                    batches,
                },
            );
        }
    }

    pub(super) fn append(&mut self, node: usize, generation: u64, stream: Stream, batch: Batch) {
        if !self.log_up {
            if self.nodes[node].generation == generation {
                self.after(
                    1,
                    Event::ToNode(
                        node,
                        generation,
                        Input::Appended {
                            stream,
                            taken: false,
                        },
                    ),
                );
            }
            return;
        }
        self.log.get_mut(&stream).unwrap().1.push(batch);
        if !self.chance(0.1, "append answer lost") {
            self.after(
                2,
                Event::ToNode(
                    node,
                    generation,
                    Input::Appended {
                        stream,
                        taken: true,
                    },
                ),
            );
        }
    }
}
