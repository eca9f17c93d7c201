"""Seeds that once broke something, each with its cause."""

SEEDS = {
    1016: "a reload asked for during the start ended a member of control",
    1017: "the same at an entry that had been killed",
    1027: "the same at a member of control",
    1029: "the same at an entry that was restarted",
    1036: "the same, and a link that was lost before its socket was set up",
}
