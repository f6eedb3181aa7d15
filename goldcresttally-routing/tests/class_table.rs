//! Guards against call classes that overwrite each other's values in a `ClassTable`.

use goldcresttally_routing::{ClassTable, class_key, late_key};

#[test]
fn usual_number_of_classes_fits() {
    let targets = [60, 200, 250, 400, 500, 800, 1000, 1500, 4000];
    let keys = || {
        let all = targets.iter().flat_map(|t| (0..2).map(move |rank| class_key(rank, *t)));
        all.collect::<Vec<_>>()
    };
    let table: ClassTable = ClassTable::default();
    for (i, key) in keys().into_iter().enumerate() {
        table.set(key, i as u32);
    }
    let stored: Vec<_> = keys().into_iter().map(|key| table.get(key)).collect();
    assert_eq!(stored, (0..18).map(Some).collect::<Vec<_>>());
}

#[test]
fn new_class_is_stored_in_full_table() {
    let table: ClassTable = ClassTable::default();
    for target in 0..1000 {
        table.set(class_key(1, target), target as u32);
        assert_eq!(table.get(class_key(1, target)), Some(target as u32));
    }
}

#[test]
fn late_calls_have_their_own_value() {
    let key = class_key(0, 500);
    let table: ClassTable = ClassTable::default();
    table.set(key, 7);
    assert_eq!(table.get(late_key(key)), None);
}
