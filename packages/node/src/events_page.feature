Feature: The page of events repeats the catalogues

  Scenario: Page and catalogues agree
    Then docs/EVENTS.md lists every event of the catalogues
