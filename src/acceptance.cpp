// The transaction is conditional on the head's row version, so sending it again cannot accept the
// change twice. It also writes a row for the change id, which tells after a conflict or a lost
// answer whether the transaction was committed.

#include "acceptance.h"

namespace cornelshed {

namespace {

class Acceptance
{
public:
    Acceptance(BlockingTable &table, const AcceptanceRequest &request)
        : m_table(table), m_request(request), m_digest(configurationDigest(request.text)),
          m_inDoubt(request.isRetry)
    { }

    AcceptanceOutcome run()
    {
        // Read first: if the row of the change id exists, an earlier run already used this id.
        if (const auto earlierOutcome = readOutcome())
            return *earlierOutcome;
        if (const auto error = m_table.putObject(configurationObjectKey(m_digest), m_request.text))
            return outcomeAfterError(*error);
        for (int n = 0; n < m_request.maximumAttemptCount; ++n) {
            if (const auto outcome = attempt())
                return *outcome;
        }
        return AcceptanceUnknown {m_expectedHead->head.version, m_reason};
    }

private:
    // Sends the transaction once. Returns nullopt if another attempt is needed.
    std::optional<AcceptanceOutcome> attempt()
    {
        const auto error = m_table.transact(transaction());
        if (!error.has_value())
            return Accepted {m_expectedHead->head.version + 1};
        if (error->kind == TableErrorKind::Unknown)
            m_inDoubt = true;
        m_reason = error->message;
        if (error->kind == TableErrorKind::Unavailable && !m_inDoubt)
            return NotAccepted {m_reason, std::nullopt};
        return readOutcome();
    }

    TableTransaction transaction() const
    {
        const ConfigurationHead next {m_expectedHead->head.version + 1, m_digest,
                                      m_request.changeId, m_request.operatorName};
        const std::string changeKey = configurationChangeKey(m_request.changeId);
        return {{{configurationHeadKey, m_expectedHead->rowVersion}},
                {{configurationHeadKey, formatHead(next)}, {changeKey, formatHead(next)}}};
    }

    // Reads the change's row and the head. Returns nullopt if the outcome is still open: the head
    // is the expected one, so that the transaction can still take effect, or the read failed after
    // an attempt.
    std::optional<AcceptanceOutcome> readOutcome()
    {
        const std::string changeKey = configurationChangeKey(m_request.changeId);
        const auto answer = m_table.read({configurationHeadKey, changeKey});
        if (const auto *error = std::get_if<TableError>(&answer)) {
            if (m_expectedHead.has_value())
                return std::nullopt; // still open; run() may make another attempt
            return outcomeAfterError(*error);
        }
        const TableRows &rows = std::get<TableRows>(answer);
        if (const auto row = rows.find(changeKey); row != rows.end()) {
            const auto change = parseHead(row->second.value);
            return outcomeFromChangeRow(change.value_or(ConfigurationHead()));
        }
        return checkHead(rows);
    }

    AcceptanceOutcome outcomeFromChangeRow(const ConfigurationHead &change) const
    {
        if (change.digest == m_digest)
            return Accepted {change.version};
        return NotAccepted {"the change id was already used for another configuration",
                            std::nullopt};
    }

    std::optional<AcceptanceOutcome> checkHead(const TableRows &rows)
    {
        VersionedHead current;
        if (const auto row = rows.find(configurationHeadKey); row != rows.end()) {
            const auto head = parseHead(row->second.value);
            if (!head.has_value())
                return NotAccepted {"row configuration/head is malformed", std::nullopt};
            current = {row->second.version, *head};
        }
        const std::uint64_t expected = m_expectedHead.has_value()
                ? m_expectedHead->head.version
                : m_request.expectedVersion.value_or(current.head.version);
        if (current.head.version != expected)
            return NotAccepted {"another change was accepted", current};
        m_expectedHead = current;
        return std::nullopt;
    }

    // Outcome of an error that occurred before this run sent a transaction. The outcome is unknown
    // if an earlier run may have sent one.
    AcceptanceOutcome outcomeAfterError(const TableError &error) const
    {
        if (m_inDoubt)
            return AcceptanceUnknown {m_request.expectedVersion.value_or(0), error.message};
        return NotAccepted {error.message, std::nullopt};
    }

    BlockingTable &m_table;
    const AcceptanceRequest &m_request;
    std::string m_digest;
    std::optional<VersionedHead> m_expectedHead; // the transaction replaces it; set by checkHead()
    bool m_inDoubt; // a transaction that was sent may have taken effect
    std::string m_reason;
};

} // namespace

Result<VersionedHead, TableError> readHead(BlockingTable &table)
{
    const auto answer = table.read({configurationHeadKey});
    if (const auto *error = std::get_if<TableError>(&answer))
        return *error;
    const TableRows &rows = std::get<TableRows>(answer);
    const auto row = rows.find(configurationHeadKey);
    if (row == rows.end())
        return VersionedHead {};
    const auto head = parseHead(row->second.value);
    if (!head.has_value())
        return TableError {TableErrorKind::Unavailable, "row configuration/head is malformed"};
    return VersionedHead {row->second.version, *head};
}

AcceptanceOutcome acceptConfiguration(BlockingTable &table, const AcceptanceRequest &request)
{
    return Acceptance(table, request).run();
}

} // namespace cornelshed
