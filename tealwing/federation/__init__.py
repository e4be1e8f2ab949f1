"""Several sites that change their rules together: plan, section, delegate (pure), shell, joining."""
