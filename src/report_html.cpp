#include "marigoldstep/report.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace marigoldstep {

namespace {

// Plot dimensions in SVG user units; the page scales the plot to the window's width.
constexpr double plot_width = 600;
constexpr double plot_height = 160;
constexpr double margin_left = 52;
constexpr double margin_bottom = 22;
constexpr double margin_top = 12;

std::string escape(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
    case '<':
      out += "&lt;";
      break;
    case '>':
      out += "&gt;";
      break;
    case '&':
      out += "&amp;";
      break;
    case '"':
      out += "&quot;";
      break;
    default:
      out += c;
    }
  }
  return out;
}

std::string format_number(double value, int digits = 1) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.*f", digits, value);
  return buf.data();
}

struct plot {
  std::string title;
  std::string unit;
  const std::vector<report_point>* points = nullptr;
  double limit = 0; // drawn as a horizontal line when positive
  int digits = 2;
};

double x_position(const report_period& period, unix_milliseconds time) {
  const auto length = std::max<unix_milliseconds>(1, period.to - period.from);
  const double part =
      static_cast<double>(time - period.from) / static_cast<double>(length);
  return margin_left + part * (plot_width - margin_left);
}

double y_position(double value, double top) {
  const double height = plot_height - margin_bottom - margin_top;
  return margin_top + height * (1.0 - value / top);
}

double axis_maximum(const plot& it) {
  double top = it.limit;
  for (const auto& point : *it.points) {
    top = std::max(top, point.value);
  }
  return top > 0 ? top * 1.1 : 1.0;
}

std::string svg_line(double x1, double y1, double x2, double y2, const char* style) {
  return "<line x1='" + format_number(x1) + "' y1='" + format_number(y1) + "' x2='" +
         format_number(x2) + "' y2='" + format_number(y2) + "' class='" + style + "'/>";
}

std::string svg_text(double x, double y, const char* anchor, const std::string& text) {
  return "<text x='" + format_number(x) + "' y='" + format_number(y) + "' text-anchor='" +
         anchor + "'>" + text + "</text>";
}

std::string format_time_of_day(unix_milliseconds time) {
  return format_time(time).substr(11, 8);
}

std::string draw_axes(const plot& it, const report_period& period, double top) {
  const double bottom = plot_height - margin_bottom;
  std::string out;
  for (const double part : {0.0, 0.5, 1.0}) {
    const double value = top * part;
    const double y = y_position(value, top);
    out += svg_line(margin_left, y, plot_width, y, "grid");
    out += svg_text(margin_left - 4, y + 4, "end", format_number(value, it.digits));
  }
  out += svg_text(margin_left, bottom + 16, "start", format_time_of_day(period.from));
  out += svg_text(plot_width, bottom + 16, "end", format_time_of_day(period.to));
  return out;
}

std::string draw_change_lines(const report_data& data) {
  std::string out;
  for (const auto& it : data.changes) {
    const double x = x_position(data.period, it.time);
    out += svg_line(x, margin_top, x, plot_height - margin_bottom, "change");
    out += svg_text(x + 2, margin_top + 8, "start", "v" + std::to_string(it.version));
  }
  return out;
}

std::string draw_plot(const plot& it, const report_data& data) {
  std::string out = "<h2>" + it.title + "</h2>";
  if (it.points->empty()) {
    return out + "<p>No data in this period.</p>";
  }
  const double top = axis_maximum(it);
  out += "<svg viewBox='0 0 " + format_number(plot_width + 8) + " " +
         format_number(plot_height) + "' role='img' aria-label='" + it.title + "'>";
  out += draw_axes(it, data.period, top);
  out += draw_change_lines(data);
  if (it.limit > 0) {
    const double y = y_position(it.limit, top);
    out += svg_line(margin_left, y, plot_width, y, "limit");
  }
  out += "<polyline class='series' points='";
  for (const auto& point : *it.points) {
    out += format_number(x_position(data.period, point.time)) + "," +
           format_number(y_position(point.value, top)) + " ";
  }
  out += "'/></svg><p class='unit'>" + it.unit + "</p>";
  return out;
}

std::string draw_outcome_table(const report_data& data) {
  std::string out = "<h2>Outcomes for each workspace</h2><table><tr><th>workspace</th>"
                    "<th>completed</th><th>not run</th><th>may have run</th></tr>";
  for (const auto& [workspace, it] : data.outcomes) {
    out += "<tr><td>" + escape(workspace) + "</td><td>" + std::to_string(it.completed) +
           "</td><td>" + std::to_string(it.not_run) + "</td><td>" +
           std::to_string(it.may_have_run) + "</td></tr>";
  }
  return out + "</table>";
}

std::string draw_change_list(const report_data& data) {
  std::string out = "<h2>Configuration changes</h2><ul>";
  for (const auto& it : data.changes) {
    out += "<li>version " + std::to_string(it.version) + " applied from " +
           format_time(it.time) + "</li>";
  }
  return out + (data.changes.empty() ? "<li>none</li>" : "") + "</ul>";
}

constexpr const char* style_sheet =
    "body{font:16px/1.4 sans-serif;margin:1em auto;padding:0 .8em;max-width:44em}"
    "svg{width:100%;height:auto}text{font-size:11px;fill:#444}"
    ".grid{stroke:#ddd}.limit{stroke:#b00;stroke-dasharray:5 4}"
    ".change{stroke:#0a7;stroke-dasharray:2 3}"
    ".series{fill:none;stroke:#1457a8;stroke-width:1.6}"
    ".unit{margin:0;color:#555;font-size:13px}"
    "table{border-collapse:collapse;width:100%}td,th{padding:.25em .5em;"
    "border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child"
    "{text-align:left}";

} // namespace

std::string render_report(const report_data& data) {
  // The drawn limits are the default load multiple, 1.25, and the limit of 2 KB/s for
  // control traffic.
  const std::array<plot, 3> plots = {{
      {"Cache reuse", "fraction of prompt tokens found in the cache", &data.cache_reuse,
       0, 2},
      {"Skew", "largest load over the mean; dashed line: default load multiple 1.25",
       &data.skew, 1.25, 2},
      {"Control traffic", "bytes per second, busiest router; dashed line: limit 2,000",
       &data.control_bytes, 2000, 0},
  }};
  std::string out = "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
                    "<meta name='viewport' content='width=device-width,initial-scale=1'>"
                    "<title>" +
                    escape(data.title) + "</title><style>" + style_sheet +
                    "</style></head><body><h1>" + escape(data.title) + "</h1><p>" +
                    format_time(data.period.from) + " to " + format_time(data.period.to) +
                    "</p>";
  for (const auto& it : plots) {
    out += draw_plot(it, data);
  }
  out += draw_outcome_table(data);
  out += draw_change_list(data);
  return out + "</body></html>\n";
}

} // namespace marigoldstep
