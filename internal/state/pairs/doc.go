// Package pairs estimates how much tasks of one image slow tasks of another
// image down on the same worker.
//
// The model of an observation of a task is
//
//	log(ratio) = base(image) + group effect + sum of coefficient(image, other) x share(other) + noise
//
// where ratio is a response time over its target or a run time over its
// expectation, and share(other) is the CPU that the tasks of the other image
// use, as a share of the worker's CPU. The group effect is what observations
// have in common for another reason, such as the speed of their worker or an
// estimate that is wrong for the whole step. The coefficients are the best
// linear unbiased predictions of that mixed model (Henderson 1950) from
// exponentially weighted sums. Their prior has mean 0, so that what is not
// supported by observations is not learned.
//
// The package does no I/O and reads no clock.
package pairs
