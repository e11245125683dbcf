package process

// PathRollouts is where a gateway's metrics address says how far roll-outs have come.
const PathRollouts = "/rollouts"
