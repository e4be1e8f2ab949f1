"""The load of changes of the rules; read bundles, watch, operators, traffic, metrics and load in order."""
