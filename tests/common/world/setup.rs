//! Initial configuration of a run: classes, customers, targets and budgets.

use super::*;

impl World {
    pub(super) fn configure(&mut self) {
        let mut changes = vec![put(
            Key::Class("std".into()),
            Object::Class(Class {
                rank: 1,
                price_permille: 1_000,
                patience: Millis(8_000),
            }),
        )];
        for number in 0..3 {
            changes.push(put(
                Key::Customer(format!("c{number}")),
                Object::Customer(Customer {
                    key_hash: String::new(),
                    concurrency: 50,
                    classes: vec!["std".into()],
                }),
            ));
            changes.push(put(
                Key::Target(format!("t{number}")),
                Object::Target(Target {
                    address: address(number, 9_000),
                    kind: Kind::Engine,
                    serves: "m".into(),
                    hall: "h".into(),
                    slots: 20,
                    checks_fence: true,
                    draining: false,
                    call_price: Tokens(0),
                }),
            ));
        }
        self.preset(Stream::Config, changes);
        for number in 0..3 {
            let customer = format!("c{number}");
            let stream = Stream::of_customer(&customer);
            let terms = Terms {
                customer: customer.clone(),
                prepaid: Tokens(PREPAID),
            };
            self.preset(
                stream,
                vec![Change::Budget {
                    name: customer,
                    terms,
                    expect: Offset(0),
                }],
            );
        }
    }

    pub(super) fn preset(&mut self, stream: Stream, changes: Vec<Change>) {
        let (_, batches) = self.log.get_mut(&stream).unwrap();
        let plan = Plan {
            id: batches.len() as u64,
            stream,
            changes,
        };
        let writer = Incarnation(1_000 + batches.len() as u64);
        let entries = vec![Entry {
            seq: 1,
            record: Record::Change(plan),
        }];
        batches.push(Batch { writer, entries });
    }
}

fn put(key: Key, object: Object) -> Change {
    Change::Put {
        key,
        object,
        expect: Offset(0),
    }
}
