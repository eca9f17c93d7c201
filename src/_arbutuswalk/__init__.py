"""Private implementation of arbutuswalk; import ``arbutuswalk`` instead."""
