//! Guards against limits on clients that do not follow from the memory and descriptors of the node, and
//! against settings that would refuse ordinary requests.

use goldcresttallyd::Settings;

fn parse(node: &str, clients: &str) -> Result<Settings, String> {
    let text = format!(
        "node: {{control: 10.0.0.1:1, peer: 10.0.0.1:2, calls: 10.0.0.1:3, operator: 10.0.0.1:4, \
         domain: d, region: r{node}}}\nclients: {{{clients}}}\n"
    );
    Settings::parse(&text).map_err(|e| e.to_string())
}

#[test]
fn limits_follow_from_memory_and_descriptors() {
    // A deploy template may render whole numbers with a fraction.
    for node in [", memory: 160MiB, descriptors: 4100", ", memory: 160.0MiB, descriptors: 4100.0"] {
        let options = parse(node, "").unwrap().client_options();
        assert_eq!(options.budget_bytes, 40 << 20);
        assert_eq!(options.call_connections, 2048);
        assert_eq!(options.tool_connections, 128);
    }
    let few = parse(", memory: 512MiB, descriptors: 1024", "").unwrap().client_options();
    assert_eq!(few.call_connections, 512);
    let unknown = parse("", "").unwrap().client_options();
    assert_eq!(unknown.call_connections, 4096);
    assert_eq!(unknown.budget_bytes, 128 << 20);
}

#[test]
fn named_limits_take_precedence() {
    let clients = "budget: 8MiB, call_connections: 10, tool_connections: 5, max_header_fields: 200, \
                   max_streams: 7, stall_ms: 2000";
    let options = parse(", memory: 160MiB", clients).unwrap().client_options();
    assert_eq!((options.budget_bytes, options.call_connections), (8 << 20, 10));
    assert_eq!((options.tool_connections, options.max_header_fields), (5, 200));
    assert_eq!((options.max_streams, options.stall_timeout.as_millis()), (7, 2000));
}

#[test]
fn limits_that_refuse_ordinary_requests_are_errors() {
    for (node, clients, key) in [
        ("", "budget: 1KiB", "clients.budget"),
        ("", "call_connections: 0", "clients.call_connections"),
        ("", "tool_connections: 1", "clients.tool_connections"),
        ("", "max_header_fields: 90", "clients.max_header_fields"),
        ("", "max_streams: 0", "clients.max_streams"),
        ("", "stall_ms: 10", "clients.stall_ms"),
        (", memory: 1MiB", "", "node.memory"),
        (", descriptors: 3", "", "node.descriptors"),
        (", descriptors: -3", "", "node.descriptors"),
        ("", "unknown: 3", "clients.unknown"),
    ] {
        let error = parse(node, clients).unwrap_err();
        assert!(error.contains(key), "{key}: {error}");
    }
}
