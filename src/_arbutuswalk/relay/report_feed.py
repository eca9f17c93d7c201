"""Numbered reports to one control process, and revisions received from it."""


class ReportFeed:
    """Which report one control process has, and what it has sent.

    Attributes:
        revision: Revision of the table last received from it.
        sent: Number of the last sample or report that was sent to it.
        confirmed: Number of the last one that it has received.
    """

    def __init__(self):
        self.revision = 0
        self.sent = 0
        self.confirmed = 0
