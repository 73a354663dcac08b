Feature: Hostile and broken answers of endpoints

  More seeds: FUZZ_SEED=7 FUZZ_RUNS=5000 before the command that runs this file.

  Scenario: Streams of an endpoint end in tokens in order or in an error
    Then random bytes, splits and faults of a stream give tokens in order or a remote error

  Scenario: A stream without an end of its event is cut
    When an endpoint sends bytes without end and without an event
    Then the stream ends as malformed within 2 MiB

  Scenario: An answer without end is cut
    When an endpoint answers a read with bytes without end
    Then the answer ends as malformed within 66 MiB
