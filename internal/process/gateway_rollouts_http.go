package process

// PathRollouts serves the progress of rollouts on a gateway's metrics address.
const PathRollouts = "/rollouts"
