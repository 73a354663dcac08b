Feature: Event streams are split at the ends of events

  Scenario: Any chunks give the same events and the same last id
    Then any events in any chunks come out whole, with the id of the last one

  Scenario Outline: Both line endings end an event
    Then the bytes "<bytes>" hold the whole events "<events>" up to id "<id>"

    Examples:
      | bytes                              | events                 | id |
      | id: 1\ndata: a\n\nid: 2\ndata:     | id: 1\ndata: a\n\n     | 1  |
      | id: 1\r\ndata: a\r\n\r\nid: 2\r\n  | id: 1\r\ndata: a\r\n\r\n | 1  |
      | id:7\ndata: a\n\n                  | id:7\ndata: a\n\n      | 7  |
      | id: 1\ndata: a\n                   |                        |    |
