"""The switch from one version of the rules to the next: actions, view, retry, permit, member; conductor, witnesses (pure);
gate, mark, plan, section, errands, shell, service."""
