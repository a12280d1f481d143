//! Settings of customers: extreme but valid values for each time and count, and arbitrary names. A balancer
//! process with each of these configurations serves a request of each class.

mod common;

use std::net::SocketAddr;

use common::*;
use serde_json::{Value, json};

/// A request class of the settings.
struct Class {
    name: String,
    /// Whether requests may be repeated: `retryable`, `dedup` or `fragile`.
    effect: &'static str,
    /// The servers that share request deduplication: `all`, `zone` or `cell`.
    group: &'static str,
    times: ClassTimes,
    value: f64,
}

/// The times of a class, in milliseconds.
#[derive(Clone, Copy)]
struct ClassTimes {
    latency_objective: f64,
    deadline: f64,
    dedup_window: f64,
}

impl ClassTimes {
    const fn new(latency_objective: f64, deadline: f64, dedup_window: f64) -> ClassTimes {
        ClassTimes { latency_objective, deadline, dedup_window }
    }
}

impl Class {
    fn new(name: &str, effect: &'static str, group: &'static str, times: ClassTimes, value: f64) -> Class {
        Class { name: name.to_owned(), effect, group, times, value }
    }

    /// Returns the class as JSON of the settings.
    fn json(&self) -> Value {
        json!({
            "Name": self.name,
            "Effect": self.effect,
            "Group": self.group,
            "TargetMs": self.times.latency_objective,
            "DeadlineMs": self.times.deadline,
            "DedupWindowMs": self.times.dedup_window,
            "LateWorth": 0.3,
            "Value": self.value,
        })
    }

    /// Returns a request of this class.
    fn request(&self, id: usize, tenant: &str) -> String {
        let headers =
            format!("Host: b\r\nReq-Id: r-{id}\r\nReq-Kind: {}\r\nReq-Owner: {tenant}\r\n", self.name);
        match self.effect {
            "retryable" => format!("GET /api HTTP/1.1\r\n{headers}\r\n"),
            "dedup" => format!(
                "POST /api HTTP/1.1\r\n{headers}Idempotency-Key: k-{id}\r\nContent-Length: 4\r\n\r\nbody"
            ),
            _ => format!("POST /api HTTP/1.1\r\n{headers}Content-Length: 4\r\n\r\nbody"),
        }
    }
}

/// The configuration of a customer.
struct CustomerConfig {
    classes: Vec<Class>,
    tenants: Vec<String>,
    /// Limit on descriptors.
    sockets: u64,
    /// Limit on memory, in MB.
    memory_mb: u64,
    /// The settings without classes and tenants.
    settings: Value,
}

impl CustomerConfig {
    /// Returns the configuration file of a balancer that knows one upstream.
    fn json(&self, upstream: SocketAddr) -> Value {
        let mut settings = self.settings.clone();
        settings["Categories"] = self.classes.iter().map(Class::json).collect();
        let tenant = |name| json!({"Name": name, "QuotaRps": 1.0, "Share": 0.5});
        settings["Realms"] = self.tenants.iter().map(tenant).collect();
        let list = endpoint_list(1, true, &[endpoint("s-0", upstream, "SERVING")]);
        json!({
            "name": "n",
            "listen": "127.0.0.1:0",
            "discovery": closed_address().to_string(),
            "seed": "1f",
            "limits": {"sockets": self.sockets, "memory_mb": self.memory_mb},
            "known": serde_json::from_str::<Value>(&list).expect("the endpoint list is valid JSON"),
            "settings": settings,
        })
    }
}

/// Returns a configuration whose times and counts are as small as allowed.
fn minimal_config() -> CustomerConfig {
    let settings = json!({
        "Limits": {
            "MostTries": 1, "ConnectTimeoutMs": 20.0, "IdleCloseMs": 50.0, "MaxOpen": 1, "MaxStreams": 1,
            "CpuUsPerS": 1000,
        },
        "Rules": {
            "ColdFrom": 0.01, "WarmAfterMs": 1.0, "OverloadFactor": 1.0, "TipAfterMs": 1.0, "AskWithinMs": 1.0,
            "DrainGraceMs": 1.0,
        },
        "Areas": ["a"], "Balancers": 1, "Discovery": "automatic", "GranularityMs": 1.0, "Zone": "a",
    });
    CustomerConfig {
        classes: vec![
            Class::new("q", "retryable", "all", ClassTimes::new(20.0, 40.0, 0.0), 0.001),
            Class::new("put", "dedup", "cell", ClassTimes::new(30.0, 60.0, 1.0), 1.0),
            Class::new("pay", "fragile", "all", ClassTimes::new(50.0, 50.0, 0.0), 9.0),
        ],
        tenants: vec!["t".to_owned()],
        sockets: 48,
        memory_mb: 8,
        settings,
    }
}

/// Returns the settings of [`maximal_config`] without classes and tenants.
fn maximal_settings() -> Value {
    json!({
        "Limits": {
            "MostTries": 4_000_000_000_u32, "Cancel": true, "Probing": true, "SecondCopies": true,
            "RetryAfter": true, "MaxRetryAfterMs": 86_400_000.0, "ConnectTimeoutMs": 600_000.0,
            "IdleCloseMs": 864_000_000.0, "MaxOpen": 4_000_000_000_u32, "MaxStreams": 1000,
            "CpuUsPerS": 1_000_000_000,
        },
        "Rules": {
            "ColdFrom": 1.0, "WarmAfterMs": 86_400_000.0, "OverloadFactor": 1_000_000.0,
            "TipAfterMs": 86_400_000.0, "AskWithinMs": 86_400_000.0, "DrainGraceMs": 86_400_000.0,
            "GraceToAnswerMs": 1000.0,
        },
        "Areas": ["a", "b", "c", "d", "e", "f", "g", "h"], "Balancers": 100_000, "Me": 99_999,
        "Discovery": "subscribe", "GranularityMs": 50.0, "Zone": "h",
        "Tiers": ["1", "2", "3", "4", "5", "6", "7", "8"], "Stage": 7, "OverShareWorth": 1.0,
        "ClientHabits": {"MarksRetry": true}, "Weights": "live", "WorthBy": "work",
        "Tariffs": {"CrossZone": 100.0, "Waste": 100.0, "LateFail": 100.0, "Unheard": 1.0},
    })
}

/// Returns a customer whose times and counts are as large as those of any customer.
fn maximal_config() -> CustomerConfig {
    let hour = 3_600_000.0;
    let times = ClassTimes::new(hour, hour, 24.0 * hour);
    let effects =
        [("retryable", "all"), ("dedup", "all"), ("dedup", "zone"), ("dedup", "cell"), ("fragile", "all")];
    let class = |number: usize| {
        let (effect, group) = effects[number % effects.len()];
        Class::new(&format!("class {number} of 40"), effect, group, times, 1e9)
    };
    CustomerConfig {
        classes: (0..40).map(class).collect(),
        tenants: (0..200).map(|number| format!("tenant/{number}")).collect(),
        sockets: 1_000_000,
        memory_mb: 1_000_000,
        settings: maximal_settings(),
    }
}

/// Returns a configuration whose optional settings are absent or zero, and whose names are not plain ASCII words.
fn sparse_config() -> CustomerConfig {
    let settings = json!({
        "Limits": {"MostTries": 2},
        "Rules": {
            "ColdFrom": 0.5, "WarmAfterMs": 0.0, "OverloadFactor": 0.0, "TipAfterMs": 0.0, "DrainGraceMs": 0.0,
        },
        "Areas": [], "Balancers": 1, "Discovery": "subscribe", "GranularityMs": 0.5,
        "Zone": "nowhere in the list",
    });
    CustomerConfig {
        classes: vec![
            Class::new("réservation", "fragile", "all", ClassTimes::new(900.0, 1100.5, 0.0), 0.0),
            Class::new("検索", "retryable", "all", ClassTimes::new(0.9, 2000.0, 0.0), 0.0),
            Class::new("a,b;c=\"d\"", "dedup", "all", ClassTimes::new(1.0, 5000.0, 0.0), 1.0),
        ],
        tenants: vec!["Café №1".to_owned()],
        sockets: 256,
        memory_mb: 32,
        settings,
    }
}

#[test]
fn a_request_of_each_class_is_served_with_extreme_settings() {
    for (name, customer) in
        [("minimal", minimal_config()), ("maximal", maximal_config()), ("sparse", sparse_config())]
    {
        let upstream = Peer::new();
        let config = customer.json(upstream.address).to_string();
        let balancer = Setup::with_upstreams(&[]).complete_config(config).start();
        let requests = upstream.serve_ok();
        let mut request_id = 0;
        for (class, tenant) in customer.classes.iter().zip(customer.tenants.iter().cycle()) {
            // A busy machine may miss a deadline of a few milliseconds. A class that is never served is a fault.
            let is_served = (0..500).any(|_| {
                request_id += 1;
                let mut client = balancer.connect();
                send(&mut client, &class.request(request_id, tenant));
                let response = read_message(&mut client);
                let response =
                    response.unwrap_or_else(|| panic!("{name}, {}: no complete response", class.name));
                let status = response.status();
                assert!([200, 502, 503, 504].contains(&status), "{name}, {}: {status}", class.name);
                status == 200
            });
            assert!(is_served, "{name}: no request of {} was served", class.name);
        }
        assert!(requests.try_iter().count() >= customer.classes.len());
    }
}

/// Replaces the value at a JSON pointer, which must exist.
fn replace_value(mut config: Value, pointer: &str, value: Value) -> Value {
    *config.pointer_mut(pointer).unwrap_or_else(|| panic!("no value at {pointer}")) = value;
    config
}

#[test]
fn invalid_settings_end_the_start_with_one_line_that_names_the_key() {
    let minimal = minimal_config().json(closed_address());
    let maximal = maximal_config().json(closed_address());
    for (config, pointer, invalid, key) in [
        (&minimal, "/settings/Categories", json!([]), "Categories"),
        (&minimal, "/settings/Categories/2/Name", json!("q"), "Categories[2].Name"),
        (&minimal, "/settings/Categories/1/DeadlineMs", json!(0.0), "Categories[1].DeadlineMs"),
        (&minimal, "/settings/Categories/0/TargetMs", json!(-5.0), "Categories[0].TargetMs"),
        (&minimal, "/settings/Categories/2/Value", json!(-9.0), "Categories[2].Value"),
        (&minimal, "/settings/Categories/1/Group", json!("shelf"), "Categories[1].Group"),
        (&minimal, "/settings/Limits/MostTries", json!(0), "Limits.MostTries"),
        (&minimal, "/settings/Rules/ColdFrom", json!(1.5), "Rules.ColdFrom"),
        (&minimal, "/settings/Rules/OverloadFactor", json!(-1.0), "Rules.OverloadFactor"),
        (&minimal, "/settings/Rules/DrainGraceMs", json!(-1.0), "Rules.DrainGraceMs"),
        (&minimal, "/settings/Balancers", json!(0), "Balancers"),
        (&minimal, "/settings/GranularityMs", json!(0.0), "GranularityMs"),
        (&maximal, "/settings/Stage", json!(8), "Stage"),
        (&maximal, "/settings/Realms/0/Share", json!(-0.5), "Realms[0].Share"),
        (&maximal, "/settings/Tariffs/Waste", json!(-100.0), "Tariffs.Waste"),
        (&minimal, "/limits/sockets", json!(0), "limits.sockets"),
        (&minimal, "/limits/memory_mb", json!(0), "limits.memory_mb"),
        (&minimal, "/settings/Categories/1/DeadlineMs", json!("60"), "EDGE_CONFIG"),
    ] {
        let config = replace_value(config.clone(), pointer, invalid);
        let output = run_until_exit(Some(&config.to_string()), &[]);
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{key}: {text}");
        assert!(text.contains(key) && text.lines().count() == 1, "{key}: {text}");
    }
}
