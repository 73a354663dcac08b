Feature: A completion is answered once, whole and in order, or refused truthfully

  Scenario: A broken stream resumes at the same engine
    Given an engine "one" whose stream breaks after 2 tokens and resumes
    When a completion of 5 tokens runs
    Then the events of the completion match the snapshot

  Scenario: A lost engine's answer goes on at another engine
    Given an engine "one" whose stream breaks after 3 tokens and is gone
    And an engine "two" that answers
    When a completion of 5 tokens runs
    Then the events of the completion match the snapshot

  Scenario: A silent stream is taken up again when its load no longer explains it
    Given an engine "one" whose stream falls silent after 2 tokens and resumes
    When a completion of 4 tokens runs
    Then the events of the completion match the snapshot

  Scenario: A caller that reads slowly is no silent stream
    Given an engine "one" that answers
    When a completion of 3 tokens runs for a caller that takes 60000 ms for each token
    Then the events of the completion match the snapshot

  Scenario: A request that no engine took was not run
    Given an engine "one" that refuses
    And an engine "two" that refuses
    When a completion of 3 tokens runs
    Then the events of the completion match the snapshot

  Scenario: The deadline ends a request at once
    Given an engine "one" whose stream falls silent after 1 tokens and is gone
    When a completion of 3 tokens runs with a deadline of 2000 ms
    Then the events of the completion match the snapshot

  Scenario: A token that is missing is never skipped over
    Given an engine "one" whose stream skips token 2 and is gone
    And an engine "two" that answers
    When a completion of 4 tokens runs
    Then the events of the completion match the snapshot

  Scenario: The deadline ends the search for an engine at once
    Given a choice of engines that takes 60000 ms
    When a completion of 3 tokens runs with a deadline of 2000 ms
    Then the events of the completion match the snapshot
    And the completion ended after 2000 ms

  Scenario: An engine that leaves while the prompt is exported gets no generation (DRAIN)
    Given an engine "one" that answers
    And an engine "two" that answers
    And "one" leaves while a prompt for it is exported
    When a completion of 2 tokens runs
    Then the events of the completion match the snapshot

  # Guards against reasons that promise that a call has not run, once it may have.
  Scenario: A request that may have run is not refused for want of another engine
    Given an engine "one" whose stream breaks after 0 tokens and is gone
    When a completion of 3 tokens runs
    Then the completion is refused with "endpoint_failed" and the outcome "unknown"
