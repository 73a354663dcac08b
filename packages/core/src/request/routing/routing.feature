Feature: Routing knows more than the reports

  Scenario: Reports are taken in order of starts and sequences
    Given an endpoint table that heard reports 5 and 7 of start one and report 1 of start two
    Then late reports of either start are not taken

  Scenario: An engine that is leaving, draining, silent or changing gets nothing
    Then any flag against an engine keeps every route away from it

  Scenario: Own work counts before it is reported
    Given an endpoint table of 2 equal engines
    When 10 long prompts are routed before any report
    Then each engine got 5 of them

  Scenario: A split goes through a prefill engine
    Given an endpoint table of a prefill engine and a decode engine
    Then the route computes the prompt on the one and generates on the other

  Scenario: Requests with one prefix meet on one engine
    Given an endpoint table of 8 equal engines
    When 20 prompts with one prefix are routed one after the other
    Then one engine got at least 18 of them

  Scenario: Prefix digests are one per full block
    Then the prefix digests match the snapshot
