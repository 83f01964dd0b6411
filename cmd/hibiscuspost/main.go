// Command hibiscuspost schedules requests over unlike engines.
package main

func main() {}
