Feature: Findings name their place

  Scenario: A finding with line, column and hint
    Given a finding at line 3 and column 7 with the hint "did you mean port"
    Then the formatted finding matches the snapshot
