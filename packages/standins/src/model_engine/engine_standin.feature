Feature: Stand-in of a model engine, used through its adapter

  Scenario: A generation gives numbered tokens that follow from its prompt
    Given an engine stand-in
    When the prompt "please confirm the visit" is completed with 5 tokens
    Then the engine's answers and records match the snapshot

  Scenario: Another attempt goes on after the tokens already delivered
    Given an engine stand-in
    When the prompt "please confirm the visit" is completed with 5 tokens after 3 delivered ones
    Then the engine's answers and records match the snapshot

  Scenario: A broken stream resumes at the engine
    Given an engine stand-in
    When the prompt "please confirm the visit" is cut after 2 of 6 tokens and resumed
    Then the engine's answers and records match the snapshot

  Scenario: A cancelled generation ends early
    Given an engine stand-in
    When a generation of 100000 tokens is cancelled after its first token
    Then the engine's answers and records match the snapshot

  Scenario: A request that crashes the engine cuts its neighbours, and the engine restarts
    Given an engine stand-in
    When the prompt "poison" crashes the engine under a running neighbour
    Then the engine's answers and records match the snapshot

  Scenario: An engine that checks numbers refuses an old order
    Given an engine stand-in
    When it is ordered to role "decode" with number 7
    And it is ordered to role "prefill" with number 6
    Then the engine's answers and records match the snapshot

  Scenario: An engine that ignores numbers runs conflicting orders
    Given an engine stand-in that ignores numbers
    When it is ordered to role "decode" with number 7
    And it is ordered to role "prefill" with number 6
    Then the engine's answers and records match the snapshot

  Scenario: A number can be raised without a change
    Given an engine stand-in
    When its number is raised to 9
    And it is ordered to role "prefill" with number 8
    Then the engine's answers and records match the snapshot

  Scenario: A role change cuts what was not drained and refuses new work meanwhile
    Given an engine stand-in
    When a generation runs into an order to role "decode"
    Then the engine's answers and records match the snapshot

  Scenario: A paused engine answers nothing until it resumes
    Given an engine stand-in
    When it is paused during a generation of 5 tokens and resumed
    Then the engine's answers and records match the snapshot

  Scenario: KV cache moves from a prefill engine to a decode engine
    Given an engine stand-in
    When a prefill engine exports the prompt "long contract" to a decode engine
    Then the engine's answers and records match the snapshot

  Scenario: Load reports lag
    Given an engine stand-in whose reports lag by 200 ms
    When its load is read during a generation
    Then the engine's answers and records match the snapshot

  Scenario: A prompt with a cached prefix is reported and prefilled once
    Given an engine stand-in
    When a prompt of 2500 tokens is completed twice
    Then the engine's answers and records match the snapshot
