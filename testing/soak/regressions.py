"""Seeds that exposed a fault in the past, each with its cause."""

SEEDS = {
    1016: "a reload signal during startup terminated a control process",
    1017: "the same in an entry restarted after a kill",
    1027: "the same in a control process",
    1029: "the same in an entry restarted after a stop",
    1036: "the same, and a link lost before its socket was set up",
}
