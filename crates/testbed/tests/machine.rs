//! What a measurement may take of the machine.

use zincstand_testbed::machine::{MAX_PROCESSES, Machine, Needs};

#[test]
fn what_is_too_large_for_the_machine_is_rejected_with_what_to_do() {
    let machine = Machine { cores: 1, processor: String::new(), memory_mb: 1000 };
    let fits = Needs { processes: MAX_PROCESSES, memory_mb: 500, descriptors: 64 };
    fits.check(&machine, 64).expect("it just fits");
    let refused = |needs: Needs| needs.check(&machine, 64).expect_err("it does not fit").to_string();
    for needs in [
        Needs { processes: MAX_PROCESSES + 1, ..fits },
        Needs { memory_mb: 501, ..fits },
        Needs { descriptors: 65, ..fits },
    ] {
        let why = refused(fits.or(needs));
        assert!(why.contains("ask for smaller sizes"), "{why}");
    }
}

#[test]
fn this_machine_has_cores_and_memory() {
    let machine = Machine::here();
    assert!(machine.cores > 0 && machine.memory_mb > 0, "{machine:?}");
}
