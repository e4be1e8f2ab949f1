"""The load of changes of the rules; read bundles, watch, operators, traffic, figures, load."""
