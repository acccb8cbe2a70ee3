// The transaction is conditional on the head's row version, so that sending it again cannot accept
// twice. It also writes a row of the change's own, by which a conflict is settled.

#include "acceptance.h"

namespace cornelshed {

namespace {

class Acceptance
{
public:
    Acceptance(BlockingTable &table, const AcceptanceRequest &request)
        : m_table(table), m_request(request), m_digest(configurationDigest(request.text)),
          m_inDoubt(request.earlierAttempt)
    { }

    AcceptanceOutcome run()
    {
        // Read first: a change id that was used before settles the earlier attempt.
        if (const auto settled = settle())
            return *settled;
        if (const auto error = m_table.putObject(configurationObjectKey(m_digest), m_request.text))
            return outcomeOfError(*error);
        for (int n = 0; n < m_request.attemptCount; ++n) {
            if (const auto outcome = attempt())
                return *outcome;
        }
        return AcceptanceUnknown {m_seen->head.version, m_reason};
    }

private:
    // Sends the transaction; nothing if another attempt is needed.
    std::optional<AcceptanceOutcome> attempt()
    {
        const auto error = m_table.transact(transaction());
        if (!error.has_value())
            return Accepted {m_seen->head.version + 1};
        if (error->kind == TableErrorKind::Unknown)
            m_inDoubt = true;
        m_reason = error->message;
        if (error->kind == TableErrorKind::Unavailable && !m_inDoubt)
            return NotAccepted {m_reason, std::nullopt};
        return settle();
    }

    TableTransaction transaction() const
    {
        const ConfigurationHead next {m_seen->head.version + 1, m_digest, m_request.changeId,
                                      m_request.operatorName};
        const std::string changeKey = configurationChangeKey(m_request.changeId);
        return {{{configurationHeadKey, m_seen->rowVersion}},
                {{configurationHeadKey, formatHead(next)}, {changeKey, formatHead(next)}}};
    }

    // Reads the change's row and the head. Nothing if the transaction can still take effect.
    std::optional<AcceptanceOutcome> settle()
    {
        const std::string changeKey = configurationChangeKey(m_request.changeId);
        const auto answer = m_table.read({configurationHeadKey, changeKey});
        if (const auto *error = std::get_if<TableError>(&answer)) {
            if (m_seen.has_value())
                return std::nullopt; // in doubt; the caller tries again
            return outcomeOfError(*error);
        }
        const TableRows &rows = std::get<TableRows>(answer);
        if (const auto row = rows.find(changeKey); row != rows.end()) {
            const auto change = parseHead(row->second.value);
            return settledByChange(change.value_or(ConfigurationHead()));
        }
        return compareHead(rows);
    }

    AcceptanceOutcome settledByChange(const ConfigurationHead &change) const
    {
        if (change.digest == m_digest)
            return Accepted {change.version};
        return NotAccepted {"the change id was used for another configuration", std::nullopt};
    }

    std::optional<AcceptanceOutcome> compareHead(const TableRows &rows)
    {
        SeenHead present;
        if (const auto row = rows.find(configurationHeadKey); row != rows.end()) {
            const auto head = parseHead(row->second.value);
            if (!head.has_value())
                return NotAccepted {"the head row is malformed", std::nullopt};
            present = {row->second.version, *head};
        }
        const std::uint64_t expected = m_seen.has_value()
                ? m_seen->head.version
                : m_request.seenVersion.value_or(present.head.version);
        if (present.head.version != expected)
            return NotAccepted {"another change was accepted", present};
        m_seen = present;
        return std::nullopt;
    }

    // An error before this run sent the transaction; an earlier run may have sent it.
    AcceptanceOutcome outcomeOfError(const TableError &error) const
    {
        if (m_inDoubt)
            return AcceptanceUnknown {m_request.seenVersion.value_or(0), error.message};
        return NotAccepted {error.message, std::nullopt};
    }

    BlockingTable &m_table;
    const AcceptanceRequest &m_request;
    std::string m_digest;
    std::optional<SeenHead> m_seen; // the head that the transaction replaces
    bool m_inDoubt;                 // a transaction that was sent may have taken effect
    std::string m_reason;
};

} // namespace

Result<SeenHead, TableError> readHead(BlockingTable &table)
{
    const auto answer = table.read({configurationHeadKey});
    if (const auto *error = std::get_if<TableError>(&answer))
        return *error;
    const TableRows &rows = std::get<TableRows>(answer);
    const auto row = rows.find(configurationHeadKey);
    if (row == rows.end())
        return SeenHead {};
    const auto head = parseHead(row->second.value);
    if (!head.has_value())
        return TableError {TableErrorKind::Unavailable, "the head row is malformed"};
    return SeenHead {row->second.version, *head};
}

AcceptanceOutcome acceptConfiguration(BlockingTable &table, const AcceptanceRequest &request)
{
    return Acceptance(table, request).run();
}

} // namespace cornelshed
