Feature: The limit of an endpoint holds for the sum over all instances

  Scenario Outline: Calls at all instances share a limit
    Given <instances> instances whose news takes <delay> ms
    And an endpoint that names a limit of <limit> a second
    When <kind> callers make <calls> calls a second for 60 s
    Then the endpoint gets at most what its limit allows
    And it gets at least <share> of its limit

    Examples:
      | instances | delay | limit | calls | kind   | share |
      | 3         | 80    | 0.5   | 20    | even   | 0.8   |
      | 3         | 80    | 2     | 20    | uneven | 0.8   |
      | 9         | 80    | 3.3   | 40    | even   | 0.8   |
      | 9         | 80    | 3     | 40    | uneven | 0.8   |
      | 9         | 80    | 0.4   | 40    | single | 0.8   |
      | 81        | 650   | 3.5   | 300   | even   | 0.8   |
      | 81        | 650   | 0.7   | 300   | uneven | 0.8   |
      | 81        | 650   | 3.5   | 30    | single | 0.8   |
      | 81        | 650   | 20    | 300   | even   | 0.8   |
      | 81        | 650   | 20    | 300   | uneven | 0.8   |

  Scenario Outline: A limit that changes holds from then on
    Given <instances> instances whose news takes <delay> ms
    And an endpoint that names a limit of <first> a second
    When uneven callers make <calls> calls a second for 20 s
    And the endpoint names a limit of <then> a second
    And uneven callers make <calls> calls a second for 20 s
    Then the endpoint gets at most what its limit allows
    And it gets at least 0.7 of its limit

    Examples:
      | instances | delay | calls | first | then |
      | 9         | 80    | 40    | 12    | 2    |
      | 9         | 80    | 40    | 1     | 10   |
      | 81        | 650   | 300   | 20    | 1.5  |
      | 81        | 650   | 300   | 2     | 15   |

  Scenario: Callers that move to other instances take the limit with them
    Given 9 instances whose news takes 80 ms
    And an endpoint that names a limit of 2 a second
    When single callers make 20 calls a second for 10 s
    And the callers move to other instances
    And single callers make 20 calls a second for 10 s
    And the callers move to other instances
    And single callers make 20 calls a second for 10 s
    Then the endpoint gets at most what its limit allows
    And it gets at least 0.8 of its limit

  Scenario Outline: After a pause, calls that come at once keep to the limit
    Given <instances> instances whose news takes <delay> ms
    And an endpoint that names a limit of 2 a second
    When even callers make <calls> calls a second for 10 s
    And no call comes for 20 s
    And even callers make <calls> calls a second for 10 s
    Then the endpoint gets at most what its limit allows

    Examples:
      | instances | delay | calls |
      | 9         | 80    | 200   |
      | 81        | 650   | 600   |

  Scenario Outline: Instances that restart or end change nothing for the sum
    Given <instances> instances whose news takes <delay> ms
    And an endpoint that names a limit of 3 a second
    When even callers make <calls> calls a second for 10 s
    And <some> instances <what>
    And even callers make <calls> calls a second for 30 s
    Then the endpoint gets at most what its limit allows
    And it gets at least 0.5 of its limit

    Examples:
      | instances | delay | calls | some | what    |
      | 9         | 80    | 40    | 3    | restart |
      | 9         | 80    | 40    | 3    | end     |
      | 81        | 650   | 300   | 27   | restart |
      | 81        | 650   | 300   | 27   | end     |

  Scenario Outline: Instances that are cut off keep to their part
    Given <instances> instances whose news takes <delay> ms
    And an endpoint that names a limit of 3 a second
    When even callers make <calls> calls a second for 10 s
    And <some> instances are cut off
    And even callers make <calls> calls a second for 9 s
    And all instances reach each other
    And even callers make <calls> calls a second for 10 s
    Then the endpoint gets at most what its limit allows

    Examples:
      | instances | delay | calls | some |
      | 9         | 80    | 40    | 1    |
      | 9         | 80    | 40    | 4    |
      | 81        | 650   | 300   | 30   |

  Scenario: A cut for long leaves a few instances their part of the limit
    Given 9 instances whose news takes 80 ms
    And an endpoint that names a limit of 9 a second
    When even callers make 60 calls a second for 10 s
    And 2 instances are cut off
    And even callers make 60 calls a second for 30 s
    Then the instances that are cut off send at most 0.4 of the limit

  Scenario: An instance that has asked nothing is told of the limit and of its end
    Given 9 instances whose news takes 80 ms
    And an endpoint that names a limit of 2 a second
    When single callers make 20 calls a second for 2 s
    Then all instances know the limit
    When the endpoint names no limit
    And single callers make 20 calls a second for 3 s
    Then no instance knows a limit

  Scenario: A limit that no answer confirms ends
    Given 3 instances whose news takes 80 ms
    And an endpoint that names a limit of 2 a second
    When even callers make 20 calls a second for 2 s
    And no call comes for 40 s
    Then no instance knows a limit

  Scenario: An endpoint that takes nothing is asked now and then, so that the end of its limit shows
    Given 9 instances whose news takes 80 ms
    And an endpoint that names a limit of 0 a second
    When even callers make 40 calls a second for 60 s
    Then the endpoint gets at most what its limit allows
    When the endpoint names no limit
    And even callers make 40 calls a second for 20 s
    Then no instance knows a limit

  Scenario: A new process of an endpoint has no limit
    Given 3 instances whose news takes 80 ms
    And an endpoint that names a limit of 2 a second
    When even callers make 20 calls a second for 5 s
    And the endpoint starts again and names none
    And even callers make 20 calls a second for 5 s
    Then no instance knows a limit

  Scenario: A caller that is refused finds room at the time it was told
    Given 9 instances whose news takes 80 ms
    And an endpoint that names a limit of 3 a second
    When even callers make 3 calls a second for 10 s
    And 30 calls come within a second and refused ones come back when told, for 30 s
    Then at least half of the calls that came back are sent
    And the endpoint gets at most what its limit allows

  Scenario: What an instance remembers of limits is bounded
    Given 3 instances whose news takes 80 ms
    When answers of 3000 endpoints name limits at one instance
    Then each instance knows at most 1024 limits
    And a digest reports at most 16 of them

  Scenario: All limits are reported in turn
    Given 3 instances whose news takes 80 ms
    When answers of 40 endpoints name limits at one instance
    Then 3 digests report all 40 of them

  Scenario: Reports of instances that send nothing cost no look at the other instances
    Given 81 instances whose news takes 650 ms
    And an endpoint that names a limit of 2 a second
    When an instance that knows of the limit hears 80 others twice, who have sent nothing
    Then it has asked for the delay of the news 10 times at most
