"""A change of rules takes hold everywhere or nowhere: view, actions, retry, permit, member, witnesses, conductor."""
