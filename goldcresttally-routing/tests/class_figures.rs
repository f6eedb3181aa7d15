//! Figures by class of call do not displace each other.

use goldcresttally_routing::{ClassTable, class_key, late_key};

#[test]
fn classes_keep_their_figures() {
    let targets = [60, 200, 250, 400, 500, 800, 1000, 1500, 4000];
    let keys = || {
        let plain = targets.iter().flat_map(|t| (0..2).map(move |rank| class_key(rank, *t)));
        plain.collect::<Vec<_>>()
    };
    let table: ClassTable = ClassTable::default();
    for (i, key) in keys().into_iter().enumerate() {
        table.set(key, i as u32);
    }
    let held: Vec<_> = keys().into_iter().map(|key| table.get(key)).collect();
    assert_eq!(held, (0..18).map(Some).collect::<Vec<_>>());
}

#[test]
fn a_class_takes_a_place() {
    let table: ClassTable = ClassTable::default();
    for target in 0..1000 {
        table.set(class_key(1, target), target as u32);
        assert_eq!(table.get(class_key(1, target)), Some(target as u32));
    }
}

#[test]
fn late_calls_are_apart() {
    let key = class_key(0, 500);
    let table: ClassTable = ClassTable::default();
    table.set(key, 7);
    assert_eq!(table.get(late_key(key)), None);
}
