Feature: Instances without processor time send nothing to endpoints that have left

  # Guards against calls that are sent by a list of processes from before a time without processor time.
  Scenario: Calls that waited for an instance reach no endpoint that left meanwhile (DRAIN)
    Given instances "one" before a booking desk
    And the list of processes takes 300 ms to answer
    When "one" gets no processor time for 3500 ms, in which every other endpoint leaves and 20 calls of each kind come
    Then no endpoint has got new work later than 3 s after it left
    And all of these calls are done
