"""Whether a backend server is reached, by what hosts find when they check it."""
