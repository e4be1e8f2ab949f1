"""A change of rules takes hold everywhere or nowhere.

Read view, actions, retry, permit, member, witnesses, conductor (pure); then gate, mark, steering, shell, service.
"""
