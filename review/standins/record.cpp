// The record of a case: one line for each event, with the time since its start.

#include "record.h"

#include <iomanip>

namespace review {

void Record::add(const std::string &text)
{
    const double now = seconds();
    const std::lock_guard lock(m_mutex);
    m_out << std::fixed << std::setprecision(3) << std::setw(8) << now << ' ' << text << '\n'
          << std::flush;
}

} // namespace review
