"""The command-line tool for operators, `wigeonctl`."""
