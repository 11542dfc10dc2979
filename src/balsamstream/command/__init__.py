"""The command-line tool ``balsamstream`` for operators."""
