"""The switch from one version of the rules to the next.

In this order: actions, view, retry, permit, member; conductor, witnesses (all pure); gate, mark, plan, section,
errands, shell, service.
"""
