use super::*;

#[test]
fn factors_have_mean_one_and_the_given_deviation() {
    for (distribution, cv) in [(DistributionKind::Lognormal, 0.5), (DistributionKind::Pareto, 0.5)] {
        let mut rng = stream(7, Purpose::Request, 1);
        let drawn: Vec<f64> = (0..200_000).map(|_| factor(&mut rng, distribution, cv)).collect();
        let mean = drawn.iter().sum::<f64>() / drawn.len() as f64;
        let deviation = drawn.iter().map(|factor| (factor - mean).powi(2)).sum::<f64>() / drawn.len() as f64;
        assert!((mean - 1.0).abs() < 0.01, "{distribution:?}: mean {mean}");
        assert!((deviation.sqrt() - cv).abs() < 0.1, "{distribution:?}: deviation {}", deviation.sqrt());
    }
}

#[test]
fn neighbouring_numbers_are_uncorrelated() {
    let units: Vec<f64> = (0..10_000).map(|number| unit(3, Purpose::Message, number)).collect();
    let mean = units.iter().sum::<f64>() / 1e4;
    let paired: f64 = units.windows(2).map(|pair| (pair[0] - 0.5) * (pair[1] - 0.5)).sum::<f64>() / 1e4;
    assert!((mean - 0.5).abs() < 0.01 && paired.abs() < 0.005, "mean {mean}, covariance {paired}");
}
