Feature: Answers without an end are not kept

  # Guards against bytes of a faulty server that are kept until the process ends.
  Scenario Outline: <call> of a server whose answers have no end <where>
    Given a server whose answers have no end <where>
    When <call> asks it
    Then the call fails within 5000 ms, and at most <MB> MB were taken of the answer

    Examples:
      | call                    | where                       | MB |
      | a call of a service     | in the body                 | 32 |
      | a call of a service     | in the body of a failure    | 16 |
      | a call of a service     | in many headers             | 16 |
      | a call of a service     | in interim answers          | 16 |
      | a call of a service     | in the extension of a chunk | 16 |
      | a call of a service     | in trailers                 | 16 |
      | a look-up               | in the body                 | 32 |
      | a probe of a service    | in the body                 | 16 |
      | a report of an engine   | in the body                 | 16 |
      | a report of an engine   | in the body of a failure    | 16 |
      | a generation            | in the body                 | 16 |
      | a list of the processes | in the body                 | 32 |
      | a reservation           | in the body                 | 16 |
