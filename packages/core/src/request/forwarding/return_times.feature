Feature: Refused callers are told to come back when there is room for them

  # Callers have 6 s, wait for a third of what is left of it at most, and come
  # back to any instance.
  Scenario Outline: Twice as many calls as there is room for, for 10 s
    Given <instances> instances and <endpoints> <kind>, with callers who come back when they were told
    When twice as many calls come as there is room for
    Then at most <share> of the tries are refused again that are with a fixed time
    And no less is served, and 0.97 of the work is done under load that is with a fixed time

    Examples:
      | instances | endpoints | kind                      | share |
      | 3         | 9         | endpoints that refuse     | 0.35  |
      | 67        | 24        | endpoints that refuse     | 0.35  |
      | 300       | 40        | endpoints that refuse     | 0.35  |
      | 3         | 9         | engines that queue 1200 ms | 0.5   |
      | 67        | 24        | engines that queue 1200 ms | 0.5   |
      | 300       | 40        | engines that queue 1200 ms | 0.5   |

  Scenario: Turns are in order, ahead of now, and no one's that the caller will not use
    Then any refused calls get times within their bounds, in order, and spaced by the room
    And a caller whose turn is beyond a third of its time is told it and takes none
