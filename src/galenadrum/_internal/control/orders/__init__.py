"""Orders to engines: what is declared about models becomes what they run."""
