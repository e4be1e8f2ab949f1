"""Drive a rollout as leader of the log, and observe permit expiry. Read coordinator, expiry_observer, then duties."""
