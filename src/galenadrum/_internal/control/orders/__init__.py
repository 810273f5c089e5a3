"""Orders to engines, which make the loaded models match the declared ones."""
