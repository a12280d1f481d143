//! The resources of the machine that a measurement may use.

use zincstand_testbed::machine::{MAX_PROCESSES, Machine, ResourceNeeds};

#[test]
fn needs_that_exceed_the_machine_are_rejected_with_advice() {
    let machine = Machine { cores: 1, processor: String::new(), memory_mb: 1000 };
    let fits = ResourceNeeds { processes: MAX_PROCESSES, memory_mb: 500, descriptors: 64 };
    fits.check(&machine, 64).expect("the needs just fit");
    let error =
        |needs: ResourceNeeds| needs.check(&machine, 64).expect_err("the needs do not fit").to_string();
    for needs in [
        ResourceNeeds { processes: MAX_PROCESSES + 1, ..fits },
        ResourceNeeds { memory_mb: 501, ..fits },
        ResourceNeeds { descriptors: 65, ..fits },
    ] {
        let error = error(fits.max(needs));
        assert!(error.contains("ask for smaller sizes"), "{error}");
    }
}

#[test]
fn this_machine_has_cores_and_memory() {
    let machine = Machine::detect();
    assert!(machine.cores > 0 && machine.memory_mb > 0, "{machine:?}");
}
