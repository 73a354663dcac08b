Feature: The entry's settings are checked and documented

  Scenario: The page is the schema's own
    Then docs/ENTRY_SETTINGS.md is written from the entry's schema

  Scenario: Every fault is reported with its place
    Then entry settings with faults are refused with findings that match the snapshot
